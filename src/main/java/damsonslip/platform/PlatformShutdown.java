package damsonslip.platform;

import damsonslip.config.SchedulerConfig;
import damsonslip.engine.EventLoop;
import damsonslip.engine.GracefulShutdown;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.shutdown.ConnectionDraining;
import damsonslip.engine.shutdown.ShutdownTimes;
import damsonslip.platform.client.ClientServer;
import damsonslip.transport.ListeningPort;

/**
 * The graceful shutdown of the platform's front end: requests are accepted for a while, then the
 * listener is closed and connections are drained, and the process ends once nothing is in flight.
 * Used on the event loop only.
 */
final class PlatformShutdown {
    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final SchedulerEngine engine;
    private final long longestDeadlineUs;
    private final ShutdownTimes times;

    /** These are null until connections are accepted. */
    private ListeningPort listener;

    private ClientServer clients;
    private ProcessCoordination processes;

    PlatformShutdown(
            EventLoop loop, LifecyclePhase phase, SchedulerEngine engine, SchedulerConfig config) {
        this.loop = loop;
        this.phase = phase;
        this.engine = engine;
        this.longestDeadlineUs =
                config.site().maxTimeBudgetsUs().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0);
        this.times = ShutdownTimes.of(longestDeadlineUs);
    }

    /** Notes that connections are accepted from now on, so a shutdown has to drain them. */
    void acceptingStarted(
            ListeningPort openListener,
            ClientServer clientServer,
            ProcessCoordination processCoordination) {
        listener = openListener;
        clients = clientServer;
        processes = processCoordination;
    }

    /** Begins the shutdown; ends at once if no client could have connected yet. */
    void begin() {
        long beginUs = loop.nowUs();
        if (listener == null) {
            phase.advanceTo(State.ENDED);
        } else {
            processes.refresh(() -> stopServing(beginUs));
        }
    }

    private void stopServing(long beginUs) {
        long lastResponseUs = beginUs + times.answerDeadlineUs();
        clients.limitDeadlines(lastResponseUs);
        loop.scheduleAt(lastResponseUs, engine::answerAllOpen);
        new GracefulShutdown(
                        loop,
                        phase,
                        times.acceptUs(),
                        longestDeadlineUs,
                        processes::hasSuccessor,
                        this::closeListener,
                        this::isComplete)
                .start();
    }

    private void closeListener() {
        listener.closeGracefully();
        clients.startDraining(
                processes.hasSuccessor()
                        ? ConnectionDraining.forUpgrade(loop.nowUs(), times)
                        : ConnectionDraining.forShutdown(loop.nowUs()));
    }

    private boolean isComplete() {
        return listener.isClosedGracefully() && engine.openRequestCount() == 0 && clients.isEmpty();
    }
}
