package damsonslip.faktory;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.store.JobRecord;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The reply to INFO: the sizes of sets and queues, and the counters. Confined to the event loop.
 */
final class ServerInfo {
    /** The Faktory version whose protocol is implemented. */
    private static final String FAKTORY_VERSION = "1.9.0";

    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("HH:mm:ss 'UTC'").withZone(ZoneOffset.UTC);

    private static final int BYTES_TO_MIB_SHIFT = 20;

    private final EventLoop loop;
    private final Counters counters;
    private final JobTable jobTable;
    private final WorkerRegistry workers;
    private final long startedUs;

    ServerInfo(EventLoop loop, Counters counters, JobTable jobTable, WorkerRegistry workers) {
        this.loop = loop;
        this.counters = counters;
        this.jobTable = jobTable;
        this.workers = workers;
        this.startedUs = loop.nowUs();
    }

    /**
     * Returns the reply as JSON.
     *
     * @param connections the number of open connections
     * @param commands the number of commands handled since the start
     */
    String describe(int connections, long commands) {
        ObjectNode info = Json.MAPPER.createObjectNode();
        info.put("server_utc_time", TIME_FORMAT.format(Instant.now()));
        putJobs(info.putObject("faktory"));
        putServer(info.putObject("server"), connections, commands);
        counters.forEachNonZero(info.putObject("counters")::put);
        return info.toString();
    }

    private void putJobs(ObjectNode jobs) {
        Map<String, Integer> queues = jobTable.queueSizes();
        long runs = counters.get(Count.ANSWERS_SERVED) + counters.get(Count.EXECUTIONS_ERROR);
        long failures = counters.get(Count.EXECUTIONS_ERROR) + counters.get(Count.RUNS_FAILED);
        jobs.put("default_size", queues.getOrDefault("default", 0))
                .put("total_enqueued", jobTable.size(JobRecord.State.QUEUED))
                .put("total_queues", queues.size())
                .put("total_processed", runs)
                .put("total_failures", failures);
        queues.forEach(jobs.putObject("queues")::put);
        jobTable.paused().forEach(jobs.putArray("paused")::add);
        putTasks(jobs.putObject("tasks"));
    }

    private void putTasks(ObjectNode tasks) {
        tasks.putObject("Workers")
                .put("size", workers.all().size())
                .put("rss_kb", workers.all().stream().mapToLong(worker -> worker.rssKb).sum());
        putSize(tasks, "Working", JobRecord.State.RESERVED);
        putSize(tasks, "Scheduled", JobRecord.State.SCHEDULED);
        putSize(tasks, "Retries", JobRecord.State.RETRY);
        putSize(tasks, "Dead", JobRecord.State.DEAD);
    }

    private void putSize(ObjectNode tasks, String name, JobRecord.State state) {
        tasks.putObject(name).put("size", jobTable.size(state));
    }

    private void putServer(ObjectNode server, int connections, long commands) {
        Runtime runtime = Runtime.getRuntime();
        long usedBytes = runtime.totalMemory() - runtime.freeMemory();
        server.put("description", "damsonslip")
                .put("faktory_version", FAKTORY_VERSION)
                .put("connections", connections)
                .put("command_count", commands)
                .put("uptime", TimeUnit.MICROSECONDS.toSeconds(loop.nowUs() - startedUs))
                .put("used_memory_mb", usedBytes >> BYTES_TO_MIB_SHIFT);
    }
}
