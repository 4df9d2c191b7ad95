package damsonslip.platform.worker;

import damsonslip.engine.SchedulerEngine;
import damsonslip.transport.ConnectFailure;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;

/**
 * Opens connections to workers within a limit of descriptors. A pending connect holds a descriptor,
 * as an open connection does.
 */
final class WorkerConnector {
    /**
     * The minimum of the limit. Two processes that share the smallest number of descriptors would
     * otherwise have none left for workers; with these, each can still serve.
     */
    private static final int MIN_CONNECTIONS = 8;

    private final ConnectionManager connections;
    private final ConnectionPool pool;
    private final InFlightAttempts attempts;
    private final SchedulerEngine engine;
    private final WorkerStatistics statistics;
    private final ResponseMemory responseMemory;

    /** Connects that have neither succeeded nor failed, the oldest first. */
    private final Set<PendingConnect> pending = new LinkedHashSet<>();

    private int maxConnections;

    WorkerConnector(
            ConnectionManager connections,
            ConnectionPool pool,
            InFlightAttempts attempts,
            SchedulerEngine engine,
            WorkerStatistics statistics,
            int maxConnections) {
        this.connections = connections;
        this.pool = pool;
        this.attempts = attempts;
        this.engine = engine;
        this.statistics = statistics;
        this.responseMemory = new ResponseMemory(connections.loop());
        this.maxConnections = Math.max(MIN_CONNECTIONS, maxConnections);
    }

    /** Changes the limit; idle connections beyond it are closed. */
    void resize(int newMaxConnections) {
        maxConnections = Math.max(MIN_CONNECTIONS, newMaxConnections);
        pool.shrinkTo(maxConnections);
    }

    /**
     * Ensures that one more connection may be opened. At the limit, abandons the oldest connect
     * that is no longer needed, else closes the connection that has been idle for longest.
     *
     * @return whether a connection may be opened
     */
    boolean reserveDescriptor() {
        if (pool.size() + pending.size() < maxConnections) {
            return true;
        }
        Optional<PendingConnect> unneeded =
                pending.stream().filter(connect -> !connect.isWanted.getAsBoolean()).findFirst();
        if (unneeded.isPresent()) {
            unneeded.get().abandon();
            return true;
        }
        return pool.evictOldestIdle();
    }

    /**
     * Opens a connection, for which a descriptor has to be reserved.
     *
     * @param isWanted whether the connection is still needed
     * @param onOpen receives the connection
     * @param onFailure receives the reason if the connect fails
     */
    void connect(
            String worker,
            InetSocketAddress address,
            BooleanSupplier isWanted,
            Consumer<WorkerConnection> onOpen,
            Consumer<ConnectFailure> onFailure) {
        PendingConnect connect = new PendingConnect(worker, isWanted, onOpen, onFailure);
        pending.add(connect);
        connect.socket = connections.connect(address, connect);
    }

    private final class PendingConnect implements ConnectionManager.ConnectionFactory {
        private final String worker;
        private final BooleanSupplier isWanted;
        private final Consumer<WorkerConnection> onOpen;
        private final Consumer<ConnectFailure> onFailure;
        private Closeable socket;

        PendingConnect(
                String worker,
                BooleanSupplier isWanted,
                Consumer<WorkerConnection> onOpen,
                Consumer<ConnectFailure> onFailure) {
            this.worker = worker;
            this.isWanted = isWanted;
            this.onOpen = onOpen;
            this.onFailure = onFailure;
        }

        @Override
        public EventLoopConnection open(EndPoint endPoint) {
            return new WorkerConnection(
                    endPoint,
                    connections.loop(),
                    worker,
                    new WorkerConnection.Owner(pool, attempts, engine, statistics, responseMemory),
                    this::opened);
        }

        private void opened(WorkerConnection connection) {
            if (pending.remove(this)) {
                onOpen.accept(connection);
            } else { // abandoned just as it was established
                connection.closeNow();
            }
        }

        @Override
        public void connectFailed(ConnectFailure failure) {
            if (pending.remove(this)) {
                onFailure.accept(failure);
            }
        }

        void abandon() {
            pending.remove(this);
            statistics.connectAbandoned();
            connections.loop().execute(() -> onFailure.accept(ConnectFailure.UNREACHABLE));
            try {
                socket.close();
            } catch (IOException e) {
                statistics.connectCloseFailed(e.getMessage());
            }
        }
    }
}
