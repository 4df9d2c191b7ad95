package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    @Test
    void reportsFailedTasksAndRunsTheNextOne() throws Exception {
        EventLoop loop = new EventLoop();
        AtomicInteger failures = new AtomicInteger();
        CountDownLatch nextTask = new CountDownLatch(1);
        loop.onTaskFailed(failures::incrementAndGet);
        loop.execute(
                () -> {
                    throw new IllegalStateException("an exception");
                });
        loop.execute(
                () -> {
                    throw new AssertionError("an error");
                });
        loop.execute(nextTask::countDown);
        assertTrue(nextTask.await(5, TimeUnit.SECONDS));
        assertEquals(2, failures.get());
        loop.stop();
    }

    /** A periodic task whose one failure ended all later runs would silently be missing. */
    @Test
    void repeatsTaskAfterItsFailure() throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch runs = new CountDownLatch(3);
        loop.repeatAfter(
                1_000,
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("an exception");
                });
        assertTrue(runs.await(5, TimeUnit.SECONDS));
        loop.stop();
    }
}
