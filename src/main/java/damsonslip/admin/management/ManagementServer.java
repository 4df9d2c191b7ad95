package damsonslip.admin.management;

import damsonslip.admin.operations.OperationResult;
import damsonslip.admin.operations.Operations;
import damsonslip.config.ConfigurationException;
import damsonslip.engine.EventLoop;
import damsonslip.transport.Address;
import damsonslip.transport.ConnectionLimiter;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LimitedAcceptor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;

/**
 * Listens on the management port. It has a selector of its own, so that operators can connect
 * regardless of the load from clients. Connections are accepted on the selector's thread;
 * everything else runs on the event loop.
 */
public final class ManagementServer extends LimitedAcceptor<ManagementConnection> {
    /**
     * Limit of open connections. Beyond it the connection that has been open longest without a
     * complete request is evicted.
     */
    private static final int MAX_CONNECTIONS = 12;

    /**
     * How many more connections may be open until the loop has evicted others, so that a complete
     * request that arrives in a burst of connections is not lost.
     */
    private static final int OVERFLOW = 24;

    /**
     * Upper limit of file descriptors: the connections, the listener, and three for the selector.
     */
    public static final int MAX_FILE_DESCRIPTORS = MAX_CONNECTIONS + OVERFLOW + 4;

    /** Required by {@link ConnectionManager}; this server makes no outgoing connections. */
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private Operations operations;

    /** Creates a server that does not listen yet. */
    public ManagementServer(EventLoop loop) {
        super(
                new ConnectionLimiter<>(
                        MAX_CONNECTIONS,
                        OVERFLOW,
                        connection -> !connection.hasOpenRequest(),
                        ManagementConnection::evictionOrder));
        this.loop = loop;
    }

    /**
     * Starts to listen; every request fails with {@code NO} until {@link #serve} is called.
     *
     * @throws ConfigurationException if the address is malformed or cannot be bound
     */
    public void listen(String address) throws ConfigurationException {
        try {
            ConnectionManager.start(loop, CONNECT_TIMEOUT_MS).listen(Address.parse(address), this);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: mgmt: " + e.getMessage());
        } catch (IOException e) {
            throw new ConfigurationException(
                    "config: mgmt: cannot listen on " + address + ": " + e.getMessage());
        }
    }

    /** Executes requests from now on. Called on the loop. */
    public void serve(Operations newOperations) {
        operations = newOperations;
    }

    /** Executes a request; calls {@code onResponse} on the loop, at once or later. */
    void execute(String line, Consumer<ByteBuffer> onResponse) {
        if (operations == null) {
            onResponse.accept(ManagementResponse.failure("starting"));
            return;
        }
        try {
            execute(ManagementRequest.decode(line), onResponse);
        } catch (ManagementRequest.MalformedException e) {
            onResponse.accept(ManagementResponse.failure(e.getMessage()));
        }
    }

    private void execute(ManagementRequest request, Consumer<ByteBuffer> onResponse) {
        Consumer<OperationResult> onResult =
                result -> onResponse.accept(ManagementResponse.of(result));
        switch (request.verb()) {
            case READY -> onResult.accept(operations.ready());
            case STATS -> onResponse.accept(ManagementResponse.of(operations.metrics()));
            case DISABLE -> operations.disable(request.workerId(), onResult);
            case ENABLE -> operations.enable(request.workerId(), onResult);
            case DRAIN -> onResult.accept(operations.drain());
            case UNDRAIN -> onResult.accept(operations.undrain());
        }
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        return new ManagementConnection(endPoint, this);
    }

    EventLoop loop() {
        return loop;
    }
}
