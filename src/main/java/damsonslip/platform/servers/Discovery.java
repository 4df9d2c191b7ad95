package damsonslip.platform.servers;

import damsonslip.Dispatch.ListMode;
import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.net.Lines;
import damsonslip.net.Link;
import damsonslip.net.Links;
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
    private static final long SILENT_US = 5_000_000;
    private static final int MOST_LINE = 4 * 1024 * 1024;

    private final Links links;
    private final InetSocketAddress address;
    private final HostGroup hosts;
    private final Driver driver;
    private Watch current;

    Discovery(Links links, InetSocketAddress address, HostGroup hosts, Driver driver) {
        this.links = links;
        this.address = address;
        this.hosts = hosts;
        this.driver = driver;
    }

    /** Begins a watch; an earlier one ends without a word. */
    void watch() {
        if (current != null) {
            current.end();
        }
        links.connect(address, new Links.Opening() {
            @Override
            public Link open(EndPoint endPoint) {
                return new Watch(endPoint, links.loop());
            }

            @Override
            public void failed() {
                driver.listed(ListMode.FAILED, List.of());
            }
        });
    }

    private final class Watch extends Link implements AnswerReader.Taker {
        private final AnswerReader reader = new AnswerReader(this);
        private final Lines lines = new Lines(MOST_LINE);
        private Loop.Timer silent;
        private int status;

        Watch(EndPoint endPoint, Loop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {
            current = this;
            heard();
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
            reader.read(bytes);
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
                LOG.info("the watch on discovery is over: {}", why);
                driver.listed(ListMode.FAILED, List.of());
            }
        }

        @Override
        protected void lost() {
            LOG.info("the watch on discovery is over: the connection broke");
            driver.listed(ListMode.FAILED, List.of());
        }

        @Override
        protected void released() {
            silent.cancel();
            if (current == this) {
                current = null;
            }
        }
    }
}
