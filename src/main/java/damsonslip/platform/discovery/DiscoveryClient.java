package damsonslip.platform.discovery;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.platform.codec.MessageEncoder;
import damsonslip.platform.codec.JsonObjectDecoder;
import damsonslip.platform.codec.ResponseReader;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.transport.ConnectFailure;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.datarate.MinimumDataRate;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches discovery's list, one watch at a time; when to ask again is the module's decision. */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    /**
     * A watch says something every two seconds; one that is silent for longer than this is dead.
     */
    private static final long SILENT_US = 3_500_000;

    private static final int MOST_OBJECT = 4 * 1024 * 1024;

    /**
     * A head or a line that has begun comes on at this rate, or the watch is broken, though a byte
     * now and then keeps it from being silent: a list of 60 workers has 10 KB, and news that take
     * longer are too old.
     */
    private static final MinimumDataRate.Limits COMING =
            new MinimumDataRate.Limits(SILENT_US, SILENT_US, 4 * 1024);

    private final ConnectionManager links;
    private final WorkerRegistry hosts;
    private final SchedulerEngine driver;

    /**
     * Where lists are pushed, what is there counts as told whether it is watched or not, and asking
     * costs nothing.
     */
    private static final long PUSHED_AGAIN_US = 50_000;

    private final boolean pushed;
    private InetSocketAddress address;

    /** The number of the newest attempt to watch; of older ones nothing is told any more. */
    private int newest;

    /** The newest attempt has neither come up nor failed yet. */
    private boolean dialling;

    /**
     * No list has come from this address yet: another discovery may count otherwise, so its first
     * is asked for whole.
     */
    private boolean unheard;

    private Watch current;
    private Runnable told = () -> {};

    public DiscoveryClient(
            ConnectionManager links,
            InetSocketAddress address,
            WorkerRegistry hosts,
            SchedulerEngine driver,
            boolean pushed) {
        this.links = links;
        this.address = address;
        this.hosts = hosts;
        this.driver = driver;
        this.pushed = pushed;
    }

    /** Tells once, when the first list has come or it was waited for so long. */
    public void whenTold(long mostUs, Runnable next) {
        told =
                () -> {
                    told = () -> {};
                    next.run();
                };
        links.loop().in(mostUs, () -> told.run());
    }

    /**
     * Discovery has moved: watches it there at once. Guards against the wait for the old watch to
     * end, during which news would go unheard; the old one counts until the new one is up.
     *
     * @param sinceUs when the operators asked for the reload
     */
    public void moveTo(InetSocketAddress next, long sinceUs) {
        driver.discoveryAddress(DiscoveryAddressState.READ, sinceUs);
        if (!next.equals(address)) {
            address = next;
            unheard = true;
            driver.discoveryAddress(DiscoveryAddressState.MOVED, sinceUs);
            connect();
        }
    }

    /**
     * Begins a watch, unless there is one or one is on its way: another dial would make the first
     * one's watch void.
     */
    public void watch() {
        if (!dialling && (current == null || current.number != newest)) {
            connect();
        }
    }

    private void connect() {
        int number = ++newest;
        dialling = true;
        links.connect(
                address,
                new ConnectionManager.ConnectionFactory() {
                    @Override
                    public EventLoopConnection open(EndPoint endPoint) {
                        return new Watch(endPoint, links.loop(), number);
                    }

                    @Override
                    public void failed(ConnectFailure why) {
                        String words =
                                switch (why) {
                                    case UNREACHABLE -> "it cannot be reached";
                                    case LOCAL -> "no socket can be had here";
                                    case UNHEARD -> "its connection came up unheard";
                                };
                        WorkerListChange loss =
                                why == ConnectFailure.UNREACHABLE
                                        ? WorkerListChange.UNREACHABLE
                                        : WorkerListChange.NOT_CALLED;
                        over(number, words, loss, links.loop().now());
                    }
                });
    }

    /**
     * Has the list watched again, unless a newer watch is on its way: where it is asked for, when
     * the module says so.
     */
    private void over(int number, String why, WorkerListChange loss, long heardUs) {
        LOG.info("the watch on discovery is over: {}", why);
        if (number == newest) {
            dialling = false;
            if (pushed) {
                links.loop().in(PUSHED_AGAIN_US, this::watch);
            }
            if (!pushed || loss == WorkerListChange.NOT_CALLED) {
                driver.listLost(loss, heardUs);
            }
        }
    }

    private final class Watch extends EventLoopConnection implements ResponseReader.Listener {
        private final ResponseReader reader = new ResponseReader(this);
        private final JsonObjectDecoder objects = new JsonObjectDecoder(MOST_OBJECT);
        private final MinimumDataRate coming = new MinimumDataRate(COMING);
        private EventLoop.Timer silent;
        private final int number;
        private int status;
        private long heardUs;

        Watch(EndPoint endPoint, EventLoop loop, int number) {
            super(endPoint, loop);
            this.number = number;
        }

        @Override
        protected void opened() {
            if (number != newest) {
                end();
                return;
            }
            dialling = false;
            if (current != null) {
                current.end();
            }
            current = this;
            heard();
            coming.begin(links.loop().now());
            HttpFields fields = HttpFields.build().add("Host", "discovery");
            write(
                    () -> {},
                    MessageEncoder.request(
                            "GET",
                            "/v1/servers?watch=1&after=" + (unheard ? 0 : hosts.generation()),
                            fields,
                            new byte[0]));
        }

        private void heard() {
            heardUs =
                    arrivedAfterUs(); // what waited here unseen was told when it came, not when it
            // was read
            if (silent != null) {
                silent.cancel();
            }
            silent = links.loop().in(SILENT_US, this::quiet);
        }

        /**
         * Where the loop was held up, what has come meanwhile is not read yet: the time is up, and
         * the watch is well.
         */
        private void quiet() {
            EventLoop.Timer due = silent;
            look();
            if (silent == due) {
                fail("it is silent", WorkerListChange.SILENT);
            }
        }

        @Override
        protected void received(ByteBuffer bytes) {
            heard();
            coming.moved(links.loop().now(), bytes.remaining());
            reader.read(bytes);
            if (status != 0 && objects.begun() == 0) {
                coming.end();
            } else {
                coming.begin(links.loop().now());
            }
            if (coming.isTooSlow(links.loop().now())) {
                fail("it trickles");
            }
        }

        @Override
        public void head(int code, Map<String, String> fields) {
            status = code;
        }

        @Override
        public void body(byte[] part) {
            if (status != 200 || isClosed()) {
                return;
            }
            List<String> whole = objects.take(part);
            if (whole == null) {
                fail("host group: not JSON, or without end");
                return;
            }
            for (String object : whole) {
                if (!isClosed()) {
                    take(object);
                }
            }
        }

        private void take(String object) {
            try {
                WorkerRegistry.Update update = hosts.decode(object);
                if (unheard && number == newest) {
                    unheard = false;
                    driver.discoveryAddress(DiscoveryAddressState.HEARD, links.loop().now());
                }
                driver.listed(WorkerRegistry.mode(update), hosts.apply(update, arrivedAfterUs()));
            } catch (WorkerRegistry.Malformed e) {
                fail(e.getMessage());
                return;
            }
            told.run();
        }

        @Override
        public void ended(boolean persistent) {
            fail("it ended with status " + status);
        }

        @Override
        public void malformed(String why) {
            fail(why);
        }

        private void fail(String why) {
            fail(why, WorkerListChange.FAILED);
        }

        private void fail(String why, WorkerListChange loss) {
            if (!isClosed()) {
                end();
                over(number, why, loss, heardUs);
            }
        }

        @Override
        protected void lost() {
            over(number, "the connection broke", WorkerListChange.FAILED, arrivedAfterUs());
        }

        @Override
        protected void released() {
            if (silent != null) {
                silent.cancel();
            }
            if (current == this) {
                current = null;
            }
        }
    }
}
