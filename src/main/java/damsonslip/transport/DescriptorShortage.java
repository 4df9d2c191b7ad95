package damsonslip.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retries operations that need a socket or descriptor while the kernel cannot provide one, for lack
 * of memory, buffers or table entries (socket(2), epoll_create(2)). If the start failed for this
 * reason, the platform would have to start the process again.
 */
public final class DescriptorShortage {
    private static final Logger LOG = LoggerFactory.getLogger(DescriptorShortage.class);

    /** Delay before the next attempt, in milliseconds. */
    public static final long RETRY_DELAY_MS = 100;

    /** Less than the 30 s within which a process has to be ready (STANDING). */
    private static final long TIMEOUT_MS = 25_000;

    /** An operation that needs a socket or descriptor. */
    interface Attempt<T> {
        T run() throws IOException;
    }

    private DescriptorShortage() {}

    /**
     * Whether the failure is transient; one because an address is in use or not available is not.
     */
    public static boolean isTransient(IOException failure) {
        boolean addressUnavailable = failure instanceof BindException;
        return !addressUnavailable
                && (failure instanceof SocketException || failure.getClass() == IOException.class);
    }

    /**
     * Retries until the attempt succeeds, it fails for another reason, or 25 s have passed. Blocks
     * the calling thread.
     *
     * @throws IOException the last failure
     */
    static <T> T retryWhileShort(Attempt<T> attempt) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (true) {
            try {
                return attempt.run();
            } catch (IOException e) {
                if (!isTransient(e) || System.nanoTime() > deadlineNs || !sleep()) {
                    throw e;
                }
                LOG.warn("event=no_socket_yet error=\"{}\"", e.getMessage());
            }
        }
    }

    private static boolean sleep() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
