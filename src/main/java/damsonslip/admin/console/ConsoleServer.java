package damsonslip.admin.console;

import damsonslip.admin.operations.Metric;
import damsonslip.admin.operations.OperationResult;
import damsonslip.admin.operations.Operations;
import damsonslip.config.ConfigurationException;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.LoopLatency;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.invariants.Invariant;
import damsonslip.engine.invariants.InvariantMonitor;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.WorkerState;
import damsonslip.transport.Address;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers the operators' console inside the scheduler. Listens only if a console address is
 * configured.
 */
public final class ConsoleServer implements ConnectionManager.ConnectionAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleServer.class);
    private static final int MAX_CONNECTIONS = 8;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final int MOST_EVENTS = 100;

    private final EventLoop loop;
    private final Counters counters;
    private final Frontend front;
    private final Operations operations;
    private final AtomicInteger openCount = new AtomicInteger();
    private final Set<ConsoleConnection> connections = new LinkedHashSet<>();

    public ConsoleServer(EventLoop loop, Counters counters, Frontend front, Operations operations) {
        this.loop = loop;
        this.counters = counters;
        this.front = front;
        this.operations = operations;
    }

    /**
     * Starts to listen.
     *
     * @throws BadInput if the address is malformed
     */
    public void listen(String address) throws ConfigurationException, IOException {
        try {
            ConnectionManager.start(loop, CONNECT_TIMEOUT_MS).listen(Address.parse(address), this);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: console: " + e.getMessage());
        }
    }

    @Override
    public boolean admit() {
        return openCount.getAndUpdate(count -> count < MAX_CONNECTIONS ? count + 1 : count)
                < MAX_CONNECTIONS;
    }

    @Override
    public void turnedBack() {
        openCount.decrementAndGet();
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        return new ConsoleConnection(endPoint, this);
    }

    void opened(ConsoleConnection link) {
        connections.add(link);
    }

    void closed(ConsoleConnection link) {
        connections.remove(link);
        openCount.decrementAndGet();
    }

    void slowReader() {
        counters.add(Count.SLOW_READERS_LET_GO);
        LOG.warn("a console reads nothing of its answer and is let go");
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Answers one command line on the event loop, so that the answer is a consistent snapshot, then
     * or later.
     */
    void answer(String line, Consumer<String> done) {
        String[] words = line.trim().split("\\s+");
        String command = words[0].toLowerCase(Locale.ROOT);
        Consumer<OperationResult> result = changed -> done.accept(changed.message());
        boolean changes = words.length == 2;
        if (changes && command.equals("disable")) {
            operations.disable(words[1], result);
        } else if (changes && command.equals("enable")) {
            operations.enable(words[1], result);
        } else {
            done.accept(answer(command, words));
        }
    }

    private String answer(String command, String... words) {
        return switch (command) {
            case "workers" -> workers();
            case "pools" -> pools(front.driver().pools());
            case "queues" -> queues(front.driver().pools());
            case "waits" -> waits();
            case "slow" -> slow();
            case "counters" -> counters();
            case "events" -> events(words.length < 2 ? "" : words[1]);
            case "invariants" -> invariants();
            case "phase" -> operations.ready().message();
            case "stats" -> metrics();
            case "disable" -> "which worker? disable ID";
            case "enable" -> "which worker? enable ID";
            case "drain" -> operations.drain().message();
            case "undrain" -> operations.undrain().message();
            case "help" -> ConsoleCommands.HELP;
            default -> "unknown command: " + words[0] + "; help lists them";
        };
    }

    private String workers() {
        StringBuilder text =
                row(
                        "%-24s %-9s %5s %5s %6s %6s %s",
                        "worker", "state", "zone", "kind", "out", "free", "pool");
        for (WorkerState w : front.driver().workers()) {
            String state =
                    !w.running()
                            ? "stopped"
                            : w.paused() ? "paused" : w.warmingUp() ? "cold" : "running";
            text.append(
                    row(
                            "%-24s %-9s %5d %5d %6d %6.1f %s",
                            w.id(),
                            state,
                            w.zone(),
                            w.kind(),
                            w.outstanding(),
                            w.freeSlots(),
                            w.pool() < 0 ? "-" : front.className(w.pool())));
        }
        return text.toString();
    }

    private String pools(List<PoolState> pools) {
        StringBuilder text =
                row(
                        "%-16s %7s %6s %8s %8s %6s",
                        "pool", "workers", "slots", "jobs/s", "ms/job", "free%");
        for (PoolState p : pools) {
            text.append(
                    row(
                            "%-16s %7d %6.0f %8.1f %8.0f %6.0f",
                            front.className(p.jobClass()),
                            p.workers(),
                            p.slots(),
                            p.arrivalRate(),
                            p.meanRunTimeUs() / 1000,
                            100 * p.freeShare()));
        }
        return text.toString();
    }

    private String queues(List<PoolState> pools) {
        StringBuilder text = row("%-16s %7s %7s %9s", "class", "present", "held", "threshold");
        for (PoolState p : pools) {
            text.append(
                    row(
                            "%-16s %7d %7d %9d",
                            front.className(p.jobClass()),
                            p.present(),
                            p.queued(),
                            p.admissionShare()));
        }
        return text.toString();
    }

    private String metrics() {
        StringBuilder text = new StringBuilder();
        for (Metric metric : operations.metrics()) {
            text.append(row("%-26s %10d", metric.name(), metric.value()));
        }
        return text.toString();
    }

    private String waits() {
        LoopLatency waits = loop.waits();
        return row("%-10s %9s %9s %9s %9s", "tasks", "50% ms", "99% ms", "99.9% ms", "most ms")
                .append(
                        row(
                                "%-10d %9.2f %9.2f %9.2f %9.2f",
                                waits.count(),
                                waits.percentileUs(50) / 1e3,
                                waits.percentileUs(99) / 1e3,
                                waits.percentileUs(99.9) / 1e3,
                                waits.longestUs() / 1e3))
                .toString();
    }

    private String slow() {
        StringBuilder text =
                row(
                        "%-22s %-16s %9s %9s %6s",
                        "peer", "what it does", "bytes", "bytes/s", "left s");
        Stream<SlowPeer> consoles =
                connections.stream().map(ConsoleConnection::slowPeer).filter(Objects::nonNull);
        for (SlowPeer slow :
                SlowPeer.slowest(Stream.concat(front.slowPeers().stream(), consoles))) {
            text.append(
                    row(
                            "%-22s %-16s %9d %9.0f %6.1f",
                            slow.peer(),
                            slow.what(),
                            slow.waiting(),
                            slow.rate(),
                            slow.leftUs() / 1e6));
        }
        return text.toString();
    }

    private String counters() {
        StringBuilder text = new StringBuilder();
        counters.each((name, count) -> text.append(row("%-26s %10d", name, count)));
        return text.length() == 0 ? "nothing yet" : text.toString();
    }

    private String events(String id) {
        List<String> newest = front.driver().events().newest(MOST_EVENTS, id);
        return newest.isEmpty() ? "nothing yet" : String.join("\n", newest);
    }

    private String invariants() {
        InvariantMonitor monitor = front.driver().monitor();
        StringBuilder text = row("%-42s %9s", "rule", "violated");
        for (Invariant invariant : Invariant.values()) {
            text.append(
                    row(
                            "%-42s %9d",
                            invariant.name().toLowerCase(Locale.ROOT), monitor.count(invariant)));
        }
        return text.toString();
    }

    private static StringBuilder row(String format, Object... values) {
        return new StringBuilder(String.format(Locale.ROOT, format, values).stripTrailing())
                .append('\n');
    }
}
