package damsonslip.tools.lab.soak;

import java.util.Locale;

/**
 * A fault injected in a run.
 *
 * @param number its position in the plan; shrinking a failing seed excludes faults by this number
 * @param kind kind of fault
 * @param target index of the affected scheduler or worker, for kinds that affect one
 * @param fromUs start time, relative to the start of the load
 * @param forUs duration
 * @param choice selects a variant of the kind, from 0 to 999
 */
record InjectedFault(int number, Kind kind, int target, long fromUs, long forUs, int choice) {
    /** Kinds of faults; the names are printed. */
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
