package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.engine.GracefulShutdown;
import damsonslip.engine.LifecyclePhase;
import damsonslip.transport.ListeningPort;
import java.util.function.BooleanSupplier;

/**
 * The graceful shutdown of the Faktory frontend. It waits for awaited jobs (those whose client
 * waits for the result) only: others stay in the store for the next start, those not handed out yet
 * and those that workers are running, whose reports may arrive after the restart. Then every
 * command that has arrived is replied to, and the connections are closed. Used on the event loop
 * only.
 */
final class FaktoryShutdown {
    /** How long connections are still accepted. */
    private static final long ACCEPT_US = 300_000;

    /**
     * How long awaited jobs may run at most; the process ends 60 s after the signal in any case.
     */
    private static final long MAX_JOBS_US = 55_000_000;

    /**
     * How long the replies to the last commands, and the peers' closes, may take: several times the
     * store's timeout.
     */
    private static final long REPLIES_US = 2_000_000;

    private static final long POLL_INTERVAL_US = 20_000;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final long jobsUs;
    private final BooleanSupplier hasAwaitedJobs;
    private final Connections connections;
    private final ListeningPort port;
    private long jobsEndUs;
    private long repliesEndUs;
    private boolean isClosing;

    /** The connections of producers and workers. */
    interface Connections {
        /** Closes each connection once all commands that have arrived are replied to. */
        void closeOnceIdle();

        /** Whether none is open. */
        boolean isEmpty();
    }

    /**
     * Creates a shutdown, which begins when {@link #begin} is called.
     *
     * @param longestDeadlineUs how long an awaited job may take
     * @param hasAwaitedJobs whether the process has to wait for an awaited job
     */
    FaktoryShutdown(
            EventLoop loop,
            LifecyclePhase phase,
            long longestDeadlineUs,
            BooleanSupplier hasAwaitedJobs,
            Connections connections,
            ListeningPort port) {
        this.loop = loop;
        this.phase = phase;
        this.jobsUs = Math.min(longestDeadlineUs, MAX_JOBS_US);
        this.hasAwaitedJobs = hasAwaitedJobs;
        this.connections = connections;
        this.port = port;
    }

    void begin() {
        new GracefulShutdown(
                        loop,
                        phase,
                        ACCEPT_US,
                        jobsUs + REPLIES_US,
                        () -> false,
                        this::stopAccepting,
                        this::isComplete)
                .start();
    }

    private void stopAccepting() {
        port.closeGracefully();
        jobsEndUs = loop.nowUs() + jobsUs;
        closeOnceJobsHaveEnded();
    }

    private void closeOnceJobsHaveEnded() {
        if (hasAwaitedJobs.getAsBoolean() && loop.nowUs() < jobsEndUs) {
            loop.scheduleAfter(POLL_INTERVAL_US, this::closeOnceJobsHaveEnded);
        } else {
            isClosing = true;
            repliesEndUs = loop.nowUs() + REPLIES_US;
            connections.closeOnceIdle();
        }
    }

    private boolean isComplete() {
        boolean closed = port.isClosedGracefully() && connections.isEmpty();
        return isClosing && (closed || loop.nowUs() >= repliesEndUs);
    }
}
