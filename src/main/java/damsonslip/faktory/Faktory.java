package damsonslip.faktory;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Driver;
import damsonslip.core.Front;
import damsonslip.core.Leave;
import damsonslip.core.Loop;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import damsonslip.net.Address;
import damsonslip.net.Link;
import damsonslip.net.Links;
import damsonslip.net.Room;
import damsonslip.settings.BadInput;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.JobStore;
import damsonslip.store.MemoryStore;
import damsonslip.store.RedisStore;
import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The Faktory front put together: producers that push, workers that fetch, a store that remembers. */
public final class Faktory implements Front, Links.Accepting {
    private static final Logger LOG = LoggerFactory.getLogger(Faktory.class);
    private static final long LEAVING_US = 300_000;
    private static final long CONNECT_MS = 250;

    private final Loop loop;
    private final Phase phase;
    private final Counters counters;
    private final FaktoryConfig config;
    private final String file;
    private volatile Password password;
    private final Driver driver;
    private final AsyncStore store;
    private final Consumers consumers;
    private final Producers producers;
    private final Room<FaktoryLink> links;
    private final long startedUs;
    private Closeable listener;

    public Faktory(Loop loop, Phase phase, Counters counters, FaktoryConfig config, String file)
        throws BadInput {
        this.loop = loop;
        this.phase = phase;
        this.counters = counters;
        this.config = config;
        this.file = file;
        this.password = new Password(config.password());
        this.startedUs = loop.now();
        this.links = new Room<>(config.links(), config.links() / 8, link -> !link.greeted(),
            Comparator.comparingLong(FaktoryLink::openedUs));
        this.driver = new Driver(config.site().settings(), new SecureRandom().nextLong(), loop, counters);
        this.store = new AsyncStore(loop, store(config));
        this.consumers = new Consumers(loop, config.site(), driver, store, counters);
        this.producers = new Producers(loop, config.site(), driver, store, phase, counters);
    }

    private static JobStore store(FaktoryConfig config) throws BadInput {
        if (config.store().equals("memory")) {
            return new MemoryStore();
        }
        try {
            return new RedisStore(RedisStore.address(config.store()), config.storePassword(), config.name());
        } catch (IllegalArgumentException e) {
            throw new BadInput("config: store: " + e.getMessage());
        }
    }

    @Override
    public void start() throws BadInput, IOException {
        try {
            Links network = Links.start(loop, CONNECT_MS);
            loop.execute(() -> {
                driver.begin(consumers, List.of());
                producers.resume();
                phase.moveTo(State.SERVING);
            });
            listener = network.listen(Address.parse(config.listen()), this);
        } catch (IllegalArgumentException e) {
            throw new BadInput("config: listen: " + e.getMessage());
        }
        LOG.info("{} speaks Faktory on {}, store {}", config.name(), config.listen(), config.store());
    }

    /** A new password holds for connections that come from now on. */
    @Override
    public void reload() {
        try {
            FaktoryConfig fresh = FaktoryConfig.read(file);
            password = new Password(fresh.password());
            LOG.info("reload: the password is read again; anything else takes effect at the next start");
        } catch (BadInput e) {
            LOG.warn("reload: {}; what held before goes on", e.getMessage());
        }
    }

    /** What is held and not handed out stays in the store for the next start; what workers have is waited for. */
    @Override
    public void leave() {
        long longest = config.site().deadlinesUs().stream().mapToLong(Long::longValue).max().orElse(0);
        boolean lasting = !config.store().equals("memory");
        loop.execute(() -> new Leave(loop, phase, LEAVING_US, longest, this::shut,
            () -> lasting ? consumers.inHand() == 0 : driver.open() == 0).begin());
    }

    private void shut() {
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("the listener did not close: {}", e.getMessage());
        }
    }

    @Override
    public String className(int jobClass) {
        return config.site().classNames().get(jobClass);
    }

    @Override
    public Driver driver() {
        return driver;
    }

    @Override
    public void close() {
        store.close();
    }

    @Override
    public boolean mayAccept() {
        return links.mayAccept();
    }

    @Override
    public Link open(EndPoint endPoint) {
        links.coming();
        return new FaktoryLink(endPoint, this);
    }

    void opened(FaktoryLink link) {
        counters.add(Count.CLIENT_LINKS_OPENED);
        links.opened(link);
    }

    void closed(FaktoryLink link) {
        links.closed(link);
        if (link.consumer() != null) {
            consumers.left(link.consumer(), link);
        }
    }

    /** One command of a connection that has said HELLO; it gets one reply. */
    void take(FaktoryLink link, Command command) {
        if (command instanceof Command.Push push) {
            producers.push(link, push);
        } else if (command instanceof Command.Fetch fetch) {
            consumers.fetch(link, fetch);
        } else if (command instanceof Command.Ack ack) {
            reported(link, ack.jid(), true, "");
        } else if (command instanceof Command.Fail fail) {
            reported(link, fail.jid(), false, fail.type() + ": " + fail.message());
        } else if (command instanceof Command.Beat beat) {
            consumers.beat(link, beat);
        } else if (command instanceof Command.Track track) {
            producers.track(link, track.jid());
        } else if (command instanceof Command.Info) {
            link.reply(Reply.bulk(info()));
        } else if (command instanceof Command.End) {
            link.end();
        } else {
            link.reply(Reply.error("ERR HELLO was said already"));
        }
    }

    /**
     * A worker's word on a job. One that comes after the job's end, or from a worker that no longer has it, is
     * taken note of and changes nothing: the final answer is given.
     */
    private void reported(FaktoryLink link, String jid, boolean done, String words) {
        if (link.consumer() == null) {
            link.reply(Reply.error("ERR only a worker may tell how a job ended"));
            return;
        }
        JobRecord.State state = done ? JobRecord.State.SUCCESS : JobRecord.State.FAILED;
        if (!consumers.reported(link.consumer(), jid, done)
            && !producers.settle(link.consumer().wid, jid, state, words)) {
            counters.add(Count.WORDS_LATE);
        }
        link.reply(Reply.ok());
    }

    private String info() {
        ObjectNode info = Command.JSON.createObjectNode().put("server_utc_time", Instant.now().toString());
        ObjectNode jobs = info.putObject("faktory");
        jobs.put("default_size", driver.open()).put("total_enqueued", driver.open() - consumers.inHand())
            .put("total_processed", counters.get(Count.ANSWERS_SERVED))
            .put("total_failures", counters.get(Count.EXECUTIONS_ERROR));
        ObjectNode tasks = jobs.putObject("tasks");
        tasks.putObject("Workers").put("size", consumers.all().size());
        tasks.putObject("Working").put("size", consumers.inHand());
        ObjectNode server = info.putObject("server");
        server.put("description", "damsonslip").put("faktory_version", "2").put("connections", links.all().size())
            .put("uptime", (loop.now() - startedUs) / 1_000_000)
            .put("used_memory_mb", Runtime.getRuntime().totalMemory() >> 20);
        ObjectNode counted = info.putObject("counters");
        counters.each(counted::put);
        return info.toString();
    }

    Consumers consumers() {
        return consumers;
    }

    Password password() {
        return password;
    }

    Loop loop() {
        return loop;
    }
}
