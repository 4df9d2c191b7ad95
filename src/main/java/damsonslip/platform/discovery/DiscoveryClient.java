package damsonslip.platform.discovery;

import damsonslip.engine.SchedulerEngine;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.transport.ConnectFailure;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import java.net.InetSocketAddress;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches discovery's endpoint list, one watch at a time, and passes each list to the engine. If
 * the settings say that lists are pushed, a watch that ends is renewed at once; otherwise the
 * policy decides when to watch again. Used on the event loop only.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    /** Short, since a new watch costs discovery nothing if lists are pushed. */
    private static final long PUSHED_RECONNECT_DELAY_US = 50_000;

    /** Requests the complete list. */
    private static final long NO_GENERATION = 0;

    private final ConnectionManager connections;
    private final WorkerRegistry registry;
    private final EndpointListDecoder decoder;
    private final SchedulerEngine engine;
    private final boolean pushed;
    private InetSocketAddress address;

    /** The newest attempt to watch; the end of an older one is not reported to the engine. */
    private WatchAttempt newest;

    /**
     * Whether a list was received from the current address; generations of another address do not
     * apply there.
     */
    private boolean listReceivedFromAddress = true;

    /** The attempt whose watch is open, or null. */
    private WatchAttempt current;

    private Runnable firstListAction = () -> {};

    /**
     * @param address where discovery listens
     * @param pushed whether discovery pushes its list, as opposed to its being polled
     */
    public DiscoveryClient(
            ConnectionManager connections,
            InetSocketAddress address,
            WorkerRegistry registry,
            EndpointListDecoder decoder,
            SchedulerEngine engine,
            boolean pushed) {
        this.connections = connections;
        this.address = address;
        this.registry = registry;
        this.decoder = decoder;
        this.engine = engine;
        this.pushed = pushed;
    }

    /** Runs an action once, when the first list has been received or this time has passed. */
    public void onFirstList(long timeoutUs, Runnable action) {
        firstListAction =
                () -> {
                    firstListAction = () -> {};
                    action.run();
                };
        connections.loop().scheduleAfter(timeoutUs, () -> firstListAction.run());
    }

    /**
     * Applies the address from a reloaded configuration. If it has changed, discovery is watched
     * there at once; the old watch stays in effect until the new one is up, so that no change is
     * missed in between.
     *
     * @param reloadUs when the reload was requested
     */
    public void changeAddress(InetSocketAddress next, long reloadUs) {
        engine.discoveryAddressChanged(DiscoveryAddressState.READ, reloadUs);
        if (!next.equals(address)) {
            address = next;
            listReceivedFromAddress = false;
            engine.discoveryAddressChanged(DiscoveryAddressState.MOVED, reloadUs);
            connect();
        }
    }

    /** Begins a watch unless one is open or being connected. */
    public void watch() {
        boolean watching = newest != null && (newest.connecting || newest.isCurrent());
        if (!watching) {
            connect();
        }
    }

    private void connect() {
        newest = new WatchAttempt();
        connections.connect(address, newest);
    }

    private static String describe(ConnectFailure failure) {
        return switch (failure) {
            case UNREACHABLE -> "it cannot be reached";
            case LOCAL -> "no socket is available on this machine";
            case UNDETECTED -> "its connection came up unheard";
        };
    }

    /** One attempt to watch, from its connect to the end of its connection. */
    private final class WatchAttempt
            implements ConnectionManager.ConnectionFactory, WatchConnection.Listener {
        private WatchConnection connection;
        private boolean connecting = true;

        @Override
        public EventLoopConnection open(EndPoint endPoint) {
            return new WatchConnection(endPoint, connections.loop(), this, decoder);
        }

        @Override
        public void connectFailed(ConnectFailure failure) {
            WorkerListChange loss =
                    failure == ConnectFailure.UNREACHABLE
                            ? WorkerListChange.UNREACHABLE
                            : WorkerListChange.NOT_CALLED;
            ended(describe(failure), loss, connections.loop().nowUs());
        }

        @Override
        public boolean watchOpened(WatchConnection watch) {
            if (!isNewest()) {
                return false;
            }
            connecting = false;
            if (current != null) {
                current.connection.closeNow();
            }
            connection = watch;
            current = this;
            return true;
        }

        @Override
        public long lastGeneration() {
            return listReceivedFromAddress ? registry.generation() : NO_GENERATION;
        }

        @Override
        public void listReceived(EndpointList list, long receivedUs) {
            if (!listReceivedFromAddress && isNewest()) {
                listReceivedFromAddress = true;
                engine.discoveryAddressChanged(
                        DiscoveryAddressState.CONFIRMED, connections.loop().nowUs());
            }
            engine.updateWorkers(list.change(), registry.apply(list, receivedUs));
            firstListAction.run();
        }

        @Override
        public void watchFailed(String reason, WorkerListChange loss, long lastReceivedUs) {
            ended(reason, loss, lastReceivedUs);
        }

        @Override
        public void watchClosed() {
            if (isCurrent()) {
                current = null;
            }
        }

        private void ended(String reason, WorkerListChange loss, long lastReceivedUs) {
            LOG.info("event=discovery_watch_ended the watch on discovery is over: {}", reason);
            if (!isNewest()) {
                return;
            }
            connecting = false;
            if (pushed) {
                connections
                        .loop()
                        .scheduleAfter(PUSHED_RECONNECT_DELAY_US, DiscoveryClient.this::watch);
            }
            if (!pushed || loss == WorkerListChange.NOT_CALLED) {
                engine.workerListFailed(loss, lastReceivedUs);
            }
        }

        @SuppressWarnings("ReferenceEquality") // this very attempt
        private boolean isNewest() {
            return newest == this;
        }

        @SuppressWarnings("ReferenceEquality") // this very attempt
        private boolean isCurrent() {
            return current == this;
        }
    }
}
