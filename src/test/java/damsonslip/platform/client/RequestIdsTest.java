package damsonslip.platform.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/** No id is claimed twice, whoever claims it, as long as it is among the latest ones. */
class RequestIdsTest {
    /** More requests than a scheduler can have open, and than arrive within a deadline. */
    private static final int LATEST = 8_000;

    private final RequestIds ids = new RequestIds();
    private final ByteBuffer memory = ByteBuffer.allocateDirect(ids.bytes());

    private RequestIds sharing() {
        RequestIds other = new RequestIds();
        other.share(memory.duplicate());
        return other;
    }

    @Test
    void claimsEachIdOnce() {
        assertTrue(ids.claim("q1"));
        assertTrue(ids.claim("q2"));
        assertFalse(ids.claim("q1"));
    }

    @Test
    void remembersTheLatestIds() {
        for (int i = 0; i < 10 * LATEST; i++) {
            assertTrue(ids.claim("earlier" + i), "a wrong rejection");
        }
        for (int i = 0; i < LATEST; i++) {
            assertTrue(ids.claim("latest" + i), "a wrong rejection");
        }
        for (int i = 0; i < LATEST; i++) {
            assertFalse(ids.claim("latest" + i), "forgotten: " + i);
        }
    }

    /** Two processes map the same memory. */
    @Test
    void sharesIdsWithOtherProcesses() {
        assertTrue(ids.claim("before"));
        ids.share(memory);
        RequestIds other = sharing();
        assertTrue(ids.claim("q1"));
        assertFalse(other.claim("q1"));
        assertTrue(other.claim("q2"));
        assertFalse(ids.claim("q2"));
        assertFalse(other.claim("before"));
    }

    /** The memory outlives the processes, so that a restart forgets nothing either. */
    @Test
    void knowsIdsOfProcessesThatHaveEnded() {
        assertTrue(sharing().claim("q1"));
        assertFalse(sharing().claim("q1"));
    }

    @Test
    void givesAnIdToOneOfThoseWhoClaimItAtTheSameTime() throws Exception {
        int claimers = 4;
        int rounds = 5_000;
        ExecutorService threads = Executors.newFixedThreadPool(claimers);
        CyclicBarrier together = new CyclicBarrier(claimers);
        int[] successes = new int[rounds];
        List<Future<?>> running = new ArrayList<>();
        for (int i = 0; i < claimers; i++) {
            RequestIds own = sharing();
            running.add(
                    threads.submit(
                            () -> {
                                for (int round = 0; round < rounds; round++) {
                                    together.await();
                                    if (own.claim("q" + round)) {
                                        synchronized (successes) {
                                            successes[round]++;
                                        }
                                    }
                                }
                                return null;
                            }));
        }
        for (Future<?> claimer : running) {
            claimer.get();
        }
        threads.shutdown();
        for (int round = 0; round < rounds; round++) {
            assertEquals(1, successes[round], "round " + round);
        }
    }
}
