package damsonslip.admin.console;

import damsonslip.admin.operations.OperationResult;
import damsonslip.admin.operations.Operations;
import damsonslip.config.ConfigurationException;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.SlowPeer;
import damsonslip.transport.Address;
import damsonslip.transport.ConnectionLimiter;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LimitedAcceptor;
import java.io.IOException;
import java.util.Comparator;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the commands of the operators' console inside the scheduler. Created only if a console
 * address is configured.
 */
public final class ConsoleServer extends LimitedAcceptor<ConsoleConnection> {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleServer.class);
    private static final int MAX_CONNECTIONS = 8;
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final Counters counters;
    private final ConsoleTables tables;
    private final Operations operations;

    /** Creates a server that does not listen yet. */
    public ConsoleServer(EventLoop loop, Counters counters, Frontend front, Operations operations) {
        super(
                new ConnectionLimiter<>(
                        MAX_CONNECTIONS,
                        0,
                        connection -> false,
                        Comparator.comparing(ConsoleConnection::hasOpenRequest)));
        this.loop = loop;
        this.counters = counters;
        this.tables = new ConsoleTables(loop, counters, front, operations);
        this.operations = operations;
    }

    /**
     * Starts to listen.
     *
     * @throws ConfigurationException if the address is malformed
     */
    public void listen(String address) throws ConfigurationException, IOException {
        try {
            ConnectionManager.start(loop, CONNECT_TIMEOUT_MS).listen(Address.parse(address), this);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: console: " + e.getMessage());
        }
    }

    /** Consoles above the limit are accepted and closed at once, so that they do not wait. */
    @Override
    public boolean hasCapacity() {
        return true;
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        return new ConsoleConnection(endPoint, this);
    }

    void slowReaderClosed() {
        counters.add(Count.SLOW_READERS_LET_GO);
        LOG.warn("a console reads nothing of its answer and is let go");
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Executes a command line. Runs on the event loop, so that the answer is a consistent snapshot;
     * calls {@code done} at once or later.
     */
    void execute(String line, Consumer<String> done) {
        String[] words = line.trim().split("\\s+");
        String command = words[0].toLowerCase(Locale.ROOT);
        Consumer<OperationResult> onResult = result -> done.accept(result.message());
        boolean hasWorkerId = words.length == 2;
        if (hasWorkerId && command.equals("disable")) {
            operations.disable(words[1], onResult);
        } else if (hasWorkerId && command.equals("enable")) {
            operations.enable(words[1], onResult);
        } else {
            done.accept(answer(command, words));
        }
    }

    private String answer(String command, String... words) {
        return switch (command) {
            case "workers" -> tables.workers();
            case "pools" -> tables.pools();
            case "queues" -> tables.queues();
            case "waits" -> tables.latency();
            case "slow" -> tables.slowPeers(slowConsoles());
            case "counters" -> tables.counters();
            case "events" -> tables.events(words.length < 2 ? "" : words[1]);
            case "invariants" -> tables.invariants();
            case "phase" -> operations.ready().message();
            case "stats" -> tables.metrics();
            case "disable" -> "which worker? disable ID";
            case "enable" -> "which worker? enable ID";
            case "drain" -> operations.drain().message();
            case "undrain" -> operations.undrain().message();
            case "help" -> ConsoleCommands.HELP;
            default -> "unknown command: " + words[0] + "; help lists them";
        };
    }

    private Stream<SlowPeer> slowConsoles() {
        return limiter().connections().stream()
                .map(ConsoleConnection::slowPeer)
                .filter(Objects::nonNull);
    }
}
