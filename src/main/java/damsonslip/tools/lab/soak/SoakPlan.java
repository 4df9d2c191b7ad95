package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.InjectedFault.Kind;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What a seed stands for: the settings of the run and its troubles, two or three of them at a time.
 */
final class SoakPlan {
    private static final int WORKERS = 8;
    private static final Set<Kind> OF_WORKERS =
            EnumSet.of(Kind.DRAIN, Kind.WORKER_DIES, Kind.WORKER_MOOD, Kind.NETWORK);
    private static final long FIRST_US = Clock.SECOND;
    private static final long LAST_US = 4 * Clock.SECOND;

    /** A trouble each so often: shorter than a trouble takes, so that they overlap. */
    private static final long EACH_US = 900 * Clock.MILLISECOND;

    private static final long SHORTEST_US = Clock.SECOND;
    private static final long LONGEST_US = 3 * Clock.SECOND;

    private final long seed;
    private final int processes;
    private final boolean pushed;
    private final boolean probes;
    private final int graceMs;
    private final List<InjectedFault> troubles = new ArrayList<>();

    SoakPlan(long seed, int processes, long lengthUs, Set<Integer> without, Set<Integer> only) {
        this.seed = seed;
        this.processes = processes;
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        this.pushed = random.nextInt(4) == 0;
        this.probes = random.nextInt(3) == 0;
        this.graceMs = 400 + random.nextInt(300);
        int number = 0;
        for (long at = FIRST_US;
                at < lengthUs - LAST_US;
                at += (long) (EACH_US * (0.3 + 1.4 * random.nextDouble()))) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int target = random.nextInt(OF_WORKERS.contains(kind) ? WORKERS : processes);
            long length = SHORTEST_US + (long) (random.nextDouble() * (LONGEST_US - SHORTEST_US));
            InjectedFault trouble =
                    new InjectedFault(number++, kind, target, at, length, random.nextInt(1_000));
            if (!without.contains(trouble.number())
                    && (only.isEmpty() || only.contains(trouble.number()))) {
                troubles.add(trouble);
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

    List<InjectedFault> troubles() {
        return troubles;
    }

    /** The settings of one scheduler, in the platform's form. */
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
                + COLD_SHARE
                + ",\"cold_s\":"
                + COLD_US / 1e6
                + ",\"fall_multiple\":"
                + FALL_MULTIPLE
                + ",\"fall_s\":"
                + FALL_US / 1e6
                + "},\"specifics\":{\"tells_start\":true}}";
    }

    /** Workers may be probed on some sites where their reports come otherwise. */
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

    /** For so long after the first send a zone's workers drop a keyed request's repeats. */
    static final long KEYED_WINDOW_US = 1_500 * Clock.MILLISECOND;

    static final double COLD_SHARE = 0.2;
    static final long COLD_US = 8 * Clock.SECOND;
    static final double FALL_MULTIPLE = 4;
    static final long FALL_US = 2 * Clock.SECOND;
}
