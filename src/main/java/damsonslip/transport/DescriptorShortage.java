package damsonslip.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the system cannot give just now: sockets or descriptors, for lack of memory, buffers or room
 * in its tables (socket(2), epoll_create(2)). That passes, and a start that ended for it would have
 * to be made again by somebody else.
 */
public final class DescriptorShortage {
    private static final Logger LOG = LoggerFactory.getLogger(DescriptorShortage.class);

    /** So long until the next try. */
    public static final long AGAIN_MS = 100;

    /** Below the 30 s within which a process has to be ready (STANDING). */
    private static final long LONGEST_MS = 25_000;

    /** Something that takes a socket. */
    interface Attempt<T> {
        T make() throws IOException;
    }

    private DescriptorShortage() {}

    /**
     * Whether this failure is one that passes; an address that is taken or cannot be had does not.
     */
    public static boolean mayPass(IOException failure) {
        boolean refused = failure instanceof BindException;
        return !refused
                && (failure instanceof SocketException || failure.getClass() == IOException.class);
    }

    /**
     * Makes the attempt until it goes well, fails for good, or the start would be too late anyway.
     */
    static <T> T outlast(Attempt<T> attempt) throws IOException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MS);
        while (true) {
            try {
                return attempt.make();
            } catch (IOException e) {
                if (!mayPass(e) || System.nanoTime() > endNs || !pause()) {
                    throw e;
                }
                LOG.warn("event=no_socket_yet error=\"{}\"", e.getMessage());
            }
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(AGAIN_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
