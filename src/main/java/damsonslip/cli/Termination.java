package damsonslip.cli;

import sun.misc.Signal;

/**
 * SIGTERM and SIGINT: ends the program in good order, and at once before there is anything to bring
 * to an end.
 */
final class Termination {
    /** A shell's exit code for a process that a signal has ended, less the signal's number. */
    private static final int SIGNALLED = 128;

    private Runnable stop = () -> {};

    private Termination() {}

    /** Handles the signals from now on. */
    static Termination handled() {
        Termination termination = new Termination();
        SignalThread.handle((signal, receivedNs) -> termination.end(signal), "TERM", "INT");
        return termination;
    }

    /** What has to be done before the program ends. */
    synchronized void after(Runnable stopping) {
        stop = stopping;
    }

    private synchronized Runnable stop() {
        return stop;
    }

    /**
     * Ends without the JVM's shutdown hooks: the JVM starts a thread for each, and may have none to
     * start.
     */
    private void end(Signal signal) {
        try {
            stop().run();
        } finally {
            Runtime.getRuntime().halt(SIGNALLED + signal.getNumber());
        }
    }
}
