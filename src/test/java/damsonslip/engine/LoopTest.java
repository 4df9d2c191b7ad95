package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The one thread, when a task on it fails. */
class LoopTest {
    @Test
    void goesOnBehindATaskThatFailsAndTellsOfIt() throws Exception {
        EventLoop loop = new EventLoop();
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch next = new CountDownLatch(1);
        loop.onTaskFailed(failed::incrementAndGet);
        loop.execute(
                () -> {
                    throw new IllegalStateException("a fault");
                });
        loop.execute(
                () -> {
                    throw new AssertionError("an error");
                });
        loop.execute(next::countDown);
        assertTrue(next.await(5, TimeUnit.SECONDS));
        assertEquals(2, failed.get());
        loop.stop();
    }
}
