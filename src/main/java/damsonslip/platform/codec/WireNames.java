package damsonslip.platform.codec;

/**
 * The names of the protocol: each constant is named after the program's term and holds the name
 * that is used on the wire. The names of the settings are mapped where they are read, in {@link
 * damsonslip.config.SettingsReader} and {@link damsonslip.config.SiteSettings}.
 */
final class WireNames {
    private WireNames() {}

    /** Header fields of requests and responses. */
    static final class Header {
        static final String REQUEST_ID = "X-Correlation-Id";
        static final String JOB_CLASS = "X-Service-Class";
        static final String TENANT = "X-Account";
        static final String TIME_BUDGET = "X-Time-Left";
        static final String IDEMPOTENCY_KEY = "Idempotency-Key";

        /** Resource demands, as {@code name=value,name=value}; see {@link Demand}. */
        static final String DEMANDS = "X-Facts";

        /** A worker's load report; see {@link Load}. */
        static final String LOAD_REPORT = "X-Backend-Load";

        /** Marks a worker's response to a job that has provably not run. */
        static final String NOT_EXECUTED = "X-Unprocessed";

        static final String CONNECTION = "Connection";
        static final String CONTENT_LENGTH = "Content-Length";
        static final String CONTENT_TYPE = "Content-Type";
        static final String EXPECT = "Expect";
        static final String HOST = "Host";
        static final String RETRY_AFTER = "Retry-After";

        private Header() {}
    }

    /** Resource demands of a job, in {@link Header#DEMANDS}; each has two names. */
    static final class Demand {
        static final String SLOTS = "slots";
        static final String SLOTS_LONG = "cores_needed";
        static final String MEMORY = "memory";
        static final String MEMORY_LONG = "mem_needed";

        private Demand() {}
    }

    /** Values of a load report, in a header or in a JSON object. */
    static final class Load {
        static final String FREE_SLOTS = "x0";
        static final String FREE_MEMORY = "x1";
        static final String RESERVED_MEMORY = "inflight";
        static final String ERRORS_PER_SECOND = "eps";

        /** The prefix of the value of {@link Header#LOAD_REPORT}. */
        static final String TEXT_FORMAT = "TEXT";

        private Load() {}
    }

    /** Members of the JSON lines by which a worker reports a job's progress. */
    static final class Progress {
        static final String REQUEST_ID = "id";
        static final String STATE = "state";
        static final String RESULT = "result";
        static final String LOAD_REPORT = "load";

        static final String STARTED = "started";
        static final String RUNNING = "running";
        static final String COMPLETED = "done";
        static final String FAILED = "failed";
        static final String HANDED_BACK = "returned";
        static final String KILLED = "lost";

        private Progress() {}
    }

    /** Members of discovery's endpoint list and of its entries. */
    static final class Endpoints {
        static final String GENERATION = "generation";
        static final String IS_COMPLETE = "reset";
        static final String ENTRIES = "instances";

        static final String WORKER_ID = "instanceId";
        static final String ADDRESS = "hostPort";
        static final String ZONE = "zone";
        static final String CELL = "cell";
        static final String MACHINE_KIND = "machineType";
        static final String STARTED_AT_MILLIS = "startedAtMs";

        static final String STATUS = "lifecycle";
        static final String RUNNING = "ready";
        static final String DRAINING = "draining";
        static final String REMOVED = "gone";

        private Endpoints() {}
    }

    /** Paths of URLs. */
    static final class Path {
        /** Where a client posts a job. */
        static final String JOBS = "/api";

        /** Where the front proxy checks the scheduler's health. */
        static final String HEALTH = "/healthz";

        /** Where a worker reports its health and its load. */
        static final String WORKER_LOAD = "/load";

        /** Discovery's watch; the generation after which changes are requested is appended. */
        static final String WATCH_AFTER = "/v1/servers?watch=1&after=";

        private Path() {}
    }
}
