package damsonslip.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order in which operations reach a store that fails, and whose replies are lost. */
class AsyncStoreTest {
    private static final String KIND = "kind";
    private static final int KEYS = 3;
    private static final int WRITES = 60;
    private static final long TIMEOUT_S = 20;

    /** After this time the circuit breaker lets calls through again. */
    private static final long STORE_IS_CALLED_AGAIN_MS = 300;

    /** After this time all failed writes have been repeated. */
    private static final long REPEATED_MS = 1_500;

    /**
     * Loses replies by chance: a failed call has executed none, a part or all of its operations.
     */
    private static final class LossyStore implements JobStore {
        private final MemoryStore content = new MemoryStore();
        private final SplittableRandom random;
        private volatile boolean lossy = true;

        LossyStore(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public List<Object> execute(List<? extends StoreOperation<?>> operations)
                throws StoreException {
            if (!lossy || random.nextInt(3) > 0) {
                return executeSome(operations);
            }
            content.execute(operations.subList(0, random.nextInt(operations.size() + 1)));
            throw new StoreException("the reply is lost", null);
        }

        /** An error reply fails its operation alone. */
        private List<Object> executeSome(List<? extends StoreOperation<?>> operations) {
            List<Object> results = new ArrayList<>();
            for (StoreOperation<?> operation : operations) {
                boolean fails = lossy && random.nextInt(10) == 0;
                results.add(
                        fails
                                ? new StoreException("an error reply", null)
                                : content.execute(List.of(operation)).get(0));
            }
            return results;
        }

        @Override
        public void close() {}
    }

    private final EventLoop loop = new EventLoop();

    @AfterEach
    void stop() {
        loop.stop();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        result.complete(task.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /**
     * Guards against an older write that is repeated over a newer one: whatever fails, the store
     * ends up with the newest value of each key.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void storeEndsUpWithNewestValueOfEachKey(long seed) throws Exception {
        LossyStore lossy = new LossyStore(seed);
        AsyncStore store = new AsyncStore(loop, lossy);
        SplittableRandom random = new SplittableRandom(-seed);
        Map<String, String> newest = new TreeMap<>();
        for (int i = 0; i < WRITES; i++) {
            String key = "k" + random.nextInt(KEYS);
            String value = random.nextInt(4) == 0 ? null : "v" + i;
            onLoop(
                    () -> {
                        store.putMetadata(KIND, key, value);
                        return null;
                    });
            if (value == null) {
                newest.remove(key);
            } else {
                newest.put(key, value);
            }
            Thread.sleep(random.nextInt(40));
        }
        lossy.lossy = false;
        StoreOperation.GetMetadata read = new StoreOperation.GetMetadata(KIND);
        Thread.sleep(REPEATED_MS);
        Map<?, ?> stored = (Map<?, ?>) lossy.content.execute(List.of(read)).get(0);
        assertEquals(newest, new TreeMap<>(stored));
        store.close();
    }

    /** A store whose first delete fails without being executed. */
    private static final class FailingDeleteStore implements JobStore {
        private final MemoryStore content = new MemoryStore();
        private boolean failed;

        @Override
        public List<Object> execute(List<? extends StoreOperation<?>> operations)
                throws StoreException {
            if (!failed && operations.get(0) instanceof StoreOperation.Delete) {
                failed = true;
                throw new StoreException("not executed", null);
            }
            return content.execute(operations);
        }

        @Override
        public void close() {}
    }

    /**
     * Guards against the loss of a job that is pushed again while the delete of its first push
     * waits to be repeated: the job is added after the delete, and not found as a repeated push.
     */
    @Test
    void executesFailedWriteBeforeLaterOperationOnItsKey() throws Exception {
        JobStore failing = new FailingDeleteStore();
        AsyncStore store = new AsyncStore(loop, failing);
        JobRecord first = record(1);
        failing.execute(List.of(new StoreOperation.Add(first, "first")));
        CountDownLatch deleteFailed = new CountDownLatch(1);
        CompletableFuture<JobRecord> existing = new CompletableFuture<>();
        loop.execute(() -> store.delete(List.of(first.id()), () -> {}, deleteFailed::countDown));
        assertTrue(deleteFailed.await(TIMEOUT_S, TimeUnit.SECONDS));
        Thread.sleep(STORE_IS_CALLED_AGAIN_MS);
        loop.execute(
                () ->
                        store.submit(
                                new StoreOperation.Add(record(2), "second"),
                                existing::complete,
                                () -> existing.completeExceptionally(new AssertionError())));
        assertEquals(null, existing.get(TIMEOUT_S, TimeUnit.SECONDS));
        Thread.sleep(REPEATED_MS);
        assertEquals(
                List.of(record(2)), failing.execute(List.of(new StoreOperation.Get(first.id()))));
        store.close();
    }

    private static JobRecord record(long sequence) {
        JobRecord.Options options =
                new JobRecord.Options(
                        "q", "t", "background", 5, 0, 0, 1, 0, 0, "", "", "", 0, false, 0);
        return JobRecord.pushed("job-00001", options, 0, 0).withSequence(sequence);
    }
}
