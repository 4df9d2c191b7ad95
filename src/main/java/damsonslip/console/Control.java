package damsonslip.console;

import damsonslip.Dispatch.PoolState;
import damsonslip.Dispatch.WorkerState;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Front;
import damsonslip.core.Loop;
import damsonslip.core.SlowPeer;
import damsonslip.core.Waits;
import damsonslip.net.Address;
import damsonslip.net.Link;
import damsonslip.net.Links;
import damsonslip.operations.Figure;
import damsonslip.operations.Operations;
import damsonslip.settings.BadInput;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What an operator's console may ask of a running scheduler; it listens only where it is told to. */
public final class Control implements Links.Accepting {
    private static final Logger LOG = LoggerFactory.getLogger(Control.class);
    private static final int MOST_LINKS = 8;
    private static final long CONNECT_MS = 1_000;

    private final Loop loop;
    private final Counters counters;
    private final Front front;
    private final Operations operations;
    private final AtomicInteger open = new AtomicInteger();
    private final Set<ControlLink> links = new LinkedHashSet<>();

    public Control(Loop loop, Counters counters, Front front, Operations operations) {
        this.loop = loop;
        this.counters = counters;
        this.front = front;
        this.operations = operations;
    }

    public void listen(String address) throws BadInput, IOException {
        try {
            Links.start(loop, CONNECT_MS).listen(Address.parse(address), this);
        } catch (IllegalArgumentException e) {
            throw new BadInput("config: console: " + e.getMessage());
        }
    }

    @Override
    public boolean admit() {
        return open.getAndUpdate(count -> count < MOST_LINKS ? count + 1 : count) < MOST_LINKS;
    }

    @Override
    public void turnedBack() {
        open.decrementAndGet();
    }

    @Override
    public Link open(EndPoint endPoint) {
        return new ControlLink(endPoint, this);
    }

    void opened(ControlLink link) {
        links.add(link);
    }

    void closed(ControlLink link) {
        links.remove(link);
        open.decrementAndGet();
    }

    void readsNothing() {
        counters.add(Count.SLOW_READERS_LET_GO);
        LOG.warn("a console reads nothing of its answer and is let go");
    }

    Loop loop() {
        return loop;
    }

    /** Answers one command; it is called on the loop, so that what it shows belongs together. */
    String answer(String line) {
        String[] words = line.trim().split("\\s+");
        return switch (words[0].toLowerCase(Locale.ROOT)) {
            case "workers" -> workers();
            case "pools" -> pools(front.driver().pools());
            case "queues" -> queues(front.driver().pools());
            case "waits" -> waits();
            case "slow" -> slow();
            case "counters" -> counters();
            case "phase" -> operations.ready().words();
            case "stats" -> figures();
            case "disable" -> words.length != 2 ? "which worker? disable ID" : operations.disable(words[1]).words();
            case "enable" -> words.length != 2 ? "which worker? enable ID" : operations.enable(words[1]).words();
            case "drain" -> operations.drain().words();
            case "undrain" -> operations.undrain().words();
            case "help" -> Commands.HELP;
            default -> "unknown command: " + words[0] + "; help lists them";
        };
    }

    private String workers() {
        StringBuilder text = row("%-24s %-9s %5s %5s %6s %6s %s", "worker", "state", "zone", "kind", "out", "free", "pool");
        for (WorkerState w : front.driver().workers()) {
            String state = !w.running() ? "stopped" : w.paused() ? "paused" : w.cold() ? "cold" : "running";
            text.append(row("%-24s %-9s %5d %5d %6d %6.1f %s", w.id(), state, w.zone(), w.kind(), w.out(), w.free(),
                w.pool() < 0 ? "-" : front.className(w.pool())));
        }
        return text.toString();
    }

    private String pools(List<PoolState> pools) {
        StringBuilder text = row("%-16s %7s %6s %8s %8s %6s", "pool", "workers", "slots", "jobs/s", "ms/job", "free%");
        for (PoolState p : pools) {
            text.append(row("%-16s %7d %6.0f %8.1f %8.0f %6.0f", front.className(p.jobClass()), p.workers(), p.slots(),
                p.rate(), p.timeUs() / 1000, 100 * p.freeShare()));
        }
        return text.toString();
    }

    private String queues(List<PoolState> pools) {
        StringBuilder text = row("%-16s %7s %7s %9s", "class", "present", "held", "threshold");
        for (PoolState p : pools) {
            text.append(row("%-16s %7d %7d %9d", front.className(p.jobClass()), p.present(), p.held(), p.share()));
        }
        return text.toString();
    }

    private String figures() {
        StringBuilder text = new StringBuilder();
        for (Figure figure : operations.figures()) {
            text.append(row("%-26s %10d", figure.name(), figure.value()));
        }
        return text.toString();
    }

    private String waits() {
        Waits waits = loop.waits();
        return row("%-10s %9s %9s %9s %9s", "tasks", "50% ms", "99% ms", "99.9% ms", "most ms")
            .append(row("%-10d %9.2f %9.2f %9.2f %9.2f", waits.count(), waits.percentileUs(50) / 1e3,
                waits.percentileUs(99) / 1e3, waits.percentileUs(99.9) / 1e3, waits.longestUs() / 1e3)).toString();
    }

    private String slow() {
        StringBuilder text = row("%-22s %-16s %9s %9s %6s", "peer", "what it does", "bytes", "bytes/s", "left s");
        Stream<SlowPeer> consoles = links.stream().map(ControlLink::shown).filter(Objects::nonNull);
        for (SlowPeer slow : SlowPeer.slowest(Stream.concat(front.slowPeers().stream(), consoles))) {
            text.append(row("%-22s %-16s %9d %9.0f %6.1f", slow.peer(), slow.what(), slow.waiting(), slow.rate(),
                slow.leftUs() / 1e6));
        }
        return text.toString();
    }

    private String counters() {
        StringBuilder text = new StringBuilder();
        counters.each((name, count) -> text.append(row("%-26s %10d", name, count)));
        return text.length() == 0 ? "nothing yet" : text.toString();
    }

    private static StringBuilder row(String format, Object... values) {
        return new StringBuilder(String.format(Locale.ROOT, format, values).stripTrailing()).append('\n');
    }
}
