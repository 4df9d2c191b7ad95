package damsonslip.platform.servers;

import damsonslip.Dispatch.ListMode;
import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.net.Lines;
import damsonslip.net.Link;
import damsonslip.net.Links;
import damsonslip.pace.Pace;
import damsonslip.platform.http.Encoder;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches discovery's list, one watch at a time; when to ask again is the module's decision. */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    /** A watch says something every two seconds; one that is silent for longer than this is dead. */
    private static final long SILENT_US = 3_500_000;
    private static final int MOST_LINE = 4 * 1024 * 1024;
    /**
     * A head or a line that has begun comes on at this rate, or the watch is broken, though a byte now and then keeps it
     * from being silent: a list of 60 workers has 10 KB, and news that take longer are too old.
     */
    private static final Pace.Limits COMING = new Pace.Limits(SILENT_US, SILENT_US, 4 * 1024);

    private final Links links;
    private final HostGroup hosts;
    private final Driver driver;
    private InetSocketAddress address;
    /** The number of the newest attempt to watch; of older ones nothing is told any more. */
    private int newest;
    private Watch current;

    Discovery(Links links, InetSocketAddress address, HostGroup hosts, Driver driver) {
        this.links = links;
        this.address = address;
        this.hosts = hosts;
        this.driver = driver;
    }

    /**
     * Discovery has moved: watches it there at once. Guards against the wait for the old watch to end, during
     * which news would go unheard; the old one counts until the new one is up.
     */
    void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            hosts.forgetGeneration();
            connect();
        }
    }

    /** Begins a watch, unless there is one. */
    void watch() {
        if (current == null || current.number != newest) {
            connect();
        }
    }

    private void connect() {
        int number = ++newest;
        links.connect(address, new Links.Opening() {
            @Override
            public Link open(EndPoint endPoint) {
                return new Watch(endPoint, links.loop(), number);
            }

            @Override
            public void failed() {
                over(number, "it cannot be reached");
            }
        });
    }

    /** Tells the module that the list is no longer watched, unless a newer watch is on its way. */
    private void over(int number, String why) {
        LOG.info("the watch on discovery is over: {}", why);
        if (number == newest) {
            driver.listed(ListMode.FAILED, List.of());
        }
    }

    private final class Watch extends Link implements AnswerReader.Taker {
        private final AnswerReader reader = new AnswerReader(this);
        private final Lines lines = new Lines(MOST_LINE);
        private final Pace coming = new Pace(COMING);
        private Loop.Timer silent;
        private final int number;
        private int status;

        Watch(EndPoint endPoint, Loop loop, int number) {
            super(endPoint, loop);
            this.number = number;
        }

        @Override
        protected void opened() {
            if (number != newest) {
                end();
                return;
            }
            if (current != null) {
                current.end();
            }
            current = this;
            heard();
            coming.begin(links.loop().now());
            HttpFields fields = HttpFields.build().add("Host", "discovery");
            write(() -> { },
                Encoder.request("GET", "/v1/servers?watch=1&after=" + hosts.generation(), fields, new byte[0]));
        }

        private void heard() {
            if (silent != null) {
                silent.cancel();
            }
            silent = links.loop().in(SILENT_US, () -> fail("it is silent"));
        }

        @Override
        protected void received(ByteBuffer bytes) {
            heard();
            coming.moved(links.loop().now(), bytes.remaining());
            reader.read(bytes);
            if (status != 0 && lines.begun() == 0) {
                coming.end();
            } else {
                coming.begin(links.loop().now());
            }
            if (coming.tooSlow(links.loop().now())) {
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
            List<String> whole = lines.take(part);
            if (whole == null) {
                fail("a line without end");
                return;
            }
            for (String line : whole) {
                if (!line.isEmpty() && !isClosed()) {
                    take(line);
                }
            }
        }

        private void take(String line) {
            try {
                HostGroup.Update update = hosts.decode(line);
                driver.listed(HostGroup.mode(update), hosts.apply(update, links.loop().now()));
            } catch (HostGroup.Malformed e) {
                fail(e.getMessage());
            }
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
            if (!isClosed()) {
                end();
                over(number, why);
            }
        }

        @Override
        protected void lost() {
            over(number, "the connection broke");
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
