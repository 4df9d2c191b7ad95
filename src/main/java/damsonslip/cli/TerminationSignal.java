package damsonslip.cli;

import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT: shuts the scheduler down gracefully and exits; exits at once if none
 * has been started yet.
 *
 * <p>Thread-safe.
 */
final class TerminationSignal {
    /** Shells report this plus the signal's number as the exit code of a process it has ended. */
    private static final int EXIT_CODE_BASE = 128;

    private Runnable shutdown = () -> {};

    private TerminationSignal() {}

    /** Handles the signals from now on. */
    static TerminationSignal handle() {
        TerminationSignal termination = new TerminationSignal();
        SignalThread.handle((signal, receivedNs) -> termination.exit(signal), "TERM", "INT");
        return termination;
    }

    /** Sets the action to run before the process exits. */
    synchronized void beforeExit(Runnable newShutdown) {
        shutdown = newShutdown;
    }

    private synchronized Runnable shutdown() {
        return shutdown;
    }

    /**
     * Exits without the JVM's shutdown hooks: the JVM starts a thread for each hook, which fails if
     * the system has no thread left.
     */
    private void exit(Signal signal) {
        try {
            shutdown().run();
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE_BASE + signal.getNumber());
        }
    }
}
