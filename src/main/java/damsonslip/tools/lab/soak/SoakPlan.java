package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.InjectedFault.Kind;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * The settings and faults of a run, derived from a seed. Two or three faults are active at a time.
 */
final class SoakPlan {
    private static final int WORKERS = 8;
    private static final Set<Kind> WORKER_KINDS =
            EnumSet.of(Kind.DRAIN, Kind.WORKER_DIES, Kind.WORKER_MOOD, Kind.NETWORK);
    private static final long FIRST_US = Clock.SECOND;
    private static final long QUIET_END_US = 4 * Clock.SECOND;

    /** Mean interval between faults, shorter than a fault lasts so that they overlap. */
    private static final long MEAN_INTERVAL_US = 900 * Clock.MILLISECOND;

    private static final long MIN_DURATION_US = Clock.SECOND;
    private static final long MAX_DURATION_US = 3 * Clock.SECOND;

    private final long seed;
    private final int processes;
    private final boolean pushed;
    private final boolean probes;
    private final int graceMs;
    private final List<InjectedFault> faults = new ArrayList<>();

    SoakPlan(long seed, int processes, long lengthUs, Set<Integer> without, Set<Integer> only) {
        this.seed = seed;
        this.processes = processes;
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        this.pushed = random.nextInt(4) == 0;
        this.probes = random.nextInt(3) == 0;
        this.graceMs = 400 + random.nextInt(300);
        int number = 0;
        for (long at = FIRST_US;
                at < lengthUs - QUIET_END_US;
                at += (long) (MEAN_INTERVAL_US * (0.3 + 1.4 * random.nextDouble()))) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int target = random.nextInt(WORKER_KINDS.contains(kind) ? WORKERS : processes);
            long length =
                    MIN_DURATION_US
                            + (long) (random.nextDouble() * (MAX_DURATION_US - MIN_DURATION_US));
            InjectedFault fault =
                    new InjectedFault(number++, kind, target, at, length, random.nextInt(1_000));
            if (!without.contains(fault.number())
                    && (only.isEmpty() || only.contains(fault.number()))) {
                faults.add(fault);
            }
        }
    }

    long seed() {
        return seed;
    }

    int workers() {
        return WORKERS;
    }

    int processes() {
        return processes;
    }

    long drainGraceUs() {
        return graceMs * Clock.MILLISECOND;
    }

    List<InjectedFault> faults() {
        return faults;
    }

    /** The settings of one scheduler as JSON. */
    String settings(int scheduler) {
        return "{\"instances\":"
                + processes
                + ",\"slot_no\":"
                + scheduler
                + ",\"azs\":[\"z0\",\"z1\"],\"zone\":"
                + scheduler % 2
                + ",\"shapes\":[\"k\"],\"registry_mode\":\""
                + (pushed ? "pushed" : "on_request")
                + "\",\"lanes\":["
                + lane("repeatable", "repeatable", "")
                + ","
                + lane(
                        "keyed",
                        "by_key",
                        ",\"dedup_scope\":\"zone\",\"window_s\":" + KEYED_WINDOW_US / 1e6)
                + ","
                + lane("once", "once", "")
                + "],\"limits\":{\"send_cap\":4,\"may_cancel\":true,\"may_probe\":"
                + mayProbe()
                + ",\"conn_idle_s\":4,\"dial_timeout_s\":0.25},\"prices\":{\"probe\":0.001},\"reporting\":{\"how\":\""
                + (probes ? "pull" : "piggyback")
                + "\",\"fields\":[\"x0\"]},\"guarantees\":{\"grace_to_answer_s\":0.05,"
                + "\"drain_grace_s\":"
                + graceMs / 1e3
                + ",\"ask_every_s\":6,\"cold_share\":"
                + INITIAL_SHARE
                + ",\"cold_s\":"
                + WARM_UP_US / 1e6
                + ",\"fall_multiple\":"
                + RAMP_MULTIPLE
                + ",\"fall_s\":"
                + RAMP_WINDOW_US / 1e6
                + "},\"specifics\":{\"tells_start\":true}}";
    }

    /**
     * Whether workers may be probed: always if load reports are pulled, else for every second seed.
     */
    private boolean mayProbe() {
        return probes || seed % 2 == 0;
    }

    private static String lane(String name, String semantics, String more) {
        return "{\"name\":\""
                + name
                + "\",\"aim_s\":0.4,\"hard_limit_s\":2.5,\"semantics\":\""
                + semantics
                + "\",\"value\":1"
                + more
                + "}";
    }

    /**
     * After the first attempt with an idempotency key, workers of the same zone drop duplicates for
     * this time.
     */
    static final long KEYED_WINDOW_US = 1_500 * Clock.MILLISECOND;

    static final double INITIAL_SHARE = 0.2;
    static final long WARM_UP_US = 8 * Clock.SECOND;
    static final double RAMP_MULTIPLE = 4;
    static final long RAMP_WINDOW_US = 2 * Clock.SECOND;
}
