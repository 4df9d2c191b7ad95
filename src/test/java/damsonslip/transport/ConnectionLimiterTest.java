package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The number of connections that are admitted. */
class ConnectionLimiterTest {
    private final ConnectionLimiter<EventLoopConnection> limiter =
            new ConnectionLimiter<>(
                    30, 10, connection -> true, Comparator.comparingInt(connection -> 0));

    /** Many connections are accepted concurrently before the first of them is set up. */
    @Test
    void admitsNoMoreThanLimitAndOverflowAtOnce() throws Exception {
        AtomicInteger admitted = new AtomicInteger();
        CountDownLatch begin = new CountDownLatch(1);
        Thread[] acceptors = new Thread[4];
        for (int i = 0; i < acceptors.length; i++) {
            acceptors[i] =
                    new Thread(
                            () -> {
                                try {
                                    begin.await();
                                } catch (InterruptedException e) {
                                    return;
                                }
                                for (int k = 0; k < 50; k++) {
                                    admitted.addAndGet(limiter.admit() ? 1 : 0);
                                }
                            });
            acceptors[i].start();
        }
        begin.countDown();
        for (Thread acceptor : acceptors) {
            acceptor.join();
        }
        assertEquals(40, admitted.get());
    }

    @Test
    void admitsAnotherAfterFailedSetUp() {
        for (int i = 0; i < 40; i++) {
            assertTrue(limiter.admit());
        }
        assertFalse(limiter.admit());
        limiter.admissionFailed();
        assertTrue(limiter.admit());
        assertFalse(limiter.admit());
    }
}
