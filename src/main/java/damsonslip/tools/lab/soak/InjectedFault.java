package damsonslip.tools.lab.soak;

import java.util.Locale;

/**
 * Something that goes wrong in a run.
 *
 * @param number its place in the plan, by which it is left out when a failing seed is shrunk
 * @param kind what happens
 * @param target which scheduler or worker it happens to, for kinds that happen to one
 * @param fromUs when, counted from the begin of the load
 * @param forUs for how long
 * @param choice chooses among the variants of the kind, from 0 up to 1,000
 */
record InjectedFault(int number, Kind kind, int target, long fromUs, long forUs, int choice) {
    /** What may happen. */
    enum Kind {
        STOP,
        KILL,
        PAUSE,
        RELOAD,
        WATCH_SILENT,
        WATCH_RESET,
        DISCOVERY_DOWN,
        DISCOVERY_SLOW,
        DRAIN,
        WORKER_DIES,
        WORKER_MOOD,
        CLIENTS_LEAVE,
        BAD_CLIENTS,
        ACCEPT_FAILS,
        SOCKET_FAILS,
        CONNECT_FAILS,
        READ_INTERRUPTED,
        WRITE_SHORT,
        WAIT_INTERRUPTED,
        ACCEPT_HELD,
        WAIT_HELD,
        WALL_CLOCK,
        NETWORK,
        MEMORY_SHORT,
        WATCHING_FAILS,
        THREADS_FAIL
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d:%s(%d) %.1f+%.1fs",
                number,
                kind,
                target,
                fromUs / 1e6,
                forUs / 1e6);
    }
}
