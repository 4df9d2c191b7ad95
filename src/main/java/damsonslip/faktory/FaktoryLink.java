package damsonslip.faktory;

import damsonslip.net.Lines;
import damsonslip.net.Link;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;

/**
 * A producer's or worker's connection: one command at a time, each with its reply before the next is looked at.
 */
final class FaktoryLink extends Link {
    private static final int MOST_LINE = 256 * 1024;
    private static final long HELLO_US = 2_000_000;

    private final Faktory faktory;
    private final String salt = Password.salt();
    private final Lines lines = new Lines(MOST_LINE);
    private final ArrayDeque<String> ahead = new ArrayDeque<>();
    private long openedUs;
    private boolean greeted;
    private boolean answering;
    /** The worker that this connection belongs to, or null for a producer's. */
    private Consumer consumer;

    FaktoryLink(EndPoint endPoint, Faktory faktory) {
        super(endPoint, faktory.loop());
        this.faktory = faktory;
    }

    boolean greeted() {
        return greeted;
    }

    long openedUs() {
        return openedUs;
    }

    Consumer consumer() {
        return consumer;
    }

    @Override
    protected void opened() {
        openedUs = faktory.loop().now();
        faktory.opened(this);
        String proof = faktory.password().needed() ? ",\"s\":\"" + salt + "\",\"i\":" + Password.ROUNDS : "";
        write(() -> { }, Reply.simple("HI {\"v\":2" + proof + "}"));
        faktory.loop().in(HELLO_US, () -> {
            if (!greeted) {
                end();
            }
        });
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (answering) {
            return; // guards the memory: what a peer sends ahead stays with it until its turn comes
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        List<String> whole = lines.take(part);
        if (whole == null) {
            refuse("ERR a line too long");
            return;
        }
        ahead.addAll(whole);
        next();
    }

    private void next() {
        while (!answering && !isClosed() && !ahead.isEmpty()) {
            String line = ahead.poll();
            if (line.isEmpty()) {
                continue;
            }
            answering = true;
            try {
                Command command = Command.decode(line);
                if (greeted) {
                    faktory.take(this, command);
                } else {
                    greet(command);
                }
            } catch (Command.Malformed e) {
                if (greeted) {
                    reply(Reply.error("ERR " + e.getMessage()));
                } else {
                    refuse("ERR " + e.getMessage());
                }
            }
        }
    }

    private void goOn() {
        next();
        if (!answering && ahead.isEmpty()) {
            again();
        }
    }

    private void greet(Command command) throws Command.Malformed {
        if (!(command instanceof Command.Hello hello)) {
            throw new Command.Malformed("HELLO comes first");
        }
        if (hello.version() > 2) {
            throw new Command.Malformed("only version 2 is spoken here");
        }
        if (faktory.password().needed() && !faktory.password().proves(salt, hello.passwordHash())) {
            throw new Command.Malformed("invalid password");
        }
        greeted = true;
        consumer = hello.wid().isEmpty() ? null : faktory.consumers().joined(hello, this);
        reply(Reply.ok());
    }

    /** Answers the command at hand and goes on to the next. */
    void reply(ByteBuffer reply) {
        reply(reply, () -> { });
    }

    void reply(ByteBuffer reply, Runnable written) {
        write(() -> {
            written.run();
            answering = false;
            faktory.loop().execute(this::goOn);
        }, reply);
    }

    /** A last word, and the connection ends. */
    void refuse(String why) {
        write(() -> { }, Reply.error(why));
        endWhenWritten();
    }

    @Override
    protected void lost() { }

    @Override
    protected void released() {
        faktory.closed(this);
    }
}
