package damsonslip.platform;

import damsonslip.config.ConfigurationException;
import damsonslip.config.SchedulerConfig;
import damsonslip.config.UnreadableConfigurationException;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.platform.worker.WorkerClient;
import damsonslip.policy.api.DiscoveryAddressState;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the configuration on SIGHUP. A new discovery address takes effect at once; requests in
 * flight and the endpoint list are not affected. Runs on the signal's own thread, which may block:
 * the signal is not repeated, so reading is retried if the file cannot be read.
 */
final class ConfigurationReload {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReload.class);

    /** How long an invalid file is retried, since it may still be being written. */
    private static final long PARTIAL_FILE_TIMEOUT_MS = 1_000;

    /** Short compared with the 1.5 s for which discovery keeps serving at its old address. */
    private static final long RETRY_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final SchedulerConfig current;
    private final Map<String, String> environment;
    private final WorkerClient workers;

    ConfigurationReload(
            EventLoop loop,
            LifecyclePhase phase,
            Counters counters,
            SchedulerConfig current,
            Map<String, String> environment,
            WorkerClient workers) {
        this.loop = loop;
        this.phase = phase;
        this.counters = counters;
        this.current = current;
        this.environment = environment;
        this.workers = workers;
    }

    /**
     * Reads the configuration until it is valid. An unreadable file is retried indefinitely; a
     * readable but invalid one is retried while it may be incomplete, and then rejected.
     *
     * @param signalUs when the signal was received
     */
    void run(long signalUs) {
        long deadlineNs =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PARTIAL_FILE_TIMEOUT_MS);
        boolean failureReported = false;
        while (!phase.hasReached(State.FINISHING)) {
            try {
                apply(SchedulerConfig.read(environment), signalUs);
                return;
            } catch (ConfigurationException e) {
                if (!failureReported) {
                    reportFailure(e, signalUs);
                    failureReported = true;
                }
                boolean retriable =
                        e instanceof UnreadableConfigurationException
                                || System.nanoTime() <= deadlineNs;
                if (!retriable || !sleep()) {
                    report(DiscoveryAddressState.READ, signalUs);
                    return;
                }
            }
        }
    }

    private void apply(SchedulerConfig fresh, long signalUs) throws ConfigurationException {
        InetSocketAddress discovery = ConfiguredAddress.parse("discovery", fresh.discovery());
        if (!fresh.listen().equals(current.listen()) || !fresh.site().equals(current.site())) {
            LOG.warn(
                    "event=reload_incomplete"
                            + " reload: changes to the listen address or to other settings"
                            + " take effect at the next start only");
        }
        LOG.info("event=reloaded reload: discovery is at {}", fresh.discovery());
        counters.add(Count.RELOADS_DONE);
        loop.execute(() -> workers.changeDiscoveryAddress(discovery, signalUs));
    }

    private void reportFailure(ConfigurationException failure, long signalUs) {
        LOG.warn(
                "event=reload_refused reload: {}; the previous configuration stays in effect",
                failure.getMessage());
        counters.add(Count.RELOADS_REFUSED);
        report(DiscoveryAddressState.UNREADABLE, signalUs);
    }

    private void report(DiscoveryAddressState state, long signalUs) {
        loop.execute(() -> workers.reportReload(state, signalUs));
    }

    private static boolean sleep() {
        try {
            Thread.sleep(RETRY_INTERVAL_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
