package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import damsonslip.engine.IdTable;
import damsonslip.store.AsyncStore;
import damsonslip.store.MemoryStore;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What is known of ended jobs, and what is said of those that are not known any more. */
class EndedJobsTest {
    private static final int BUCKET_BITS = 15;
    private static final int WAYS = 16;

    /** Ids that fall into one bucket: one of them is forgotten with the first that does not fit. */
    private static final List<String> CROWDED = idsOfOneBucket(2 * WAYS);

    private final EventLoop loop = new EventLoop();
    private final AsyncStore store = new AsyncStore(loop, new MemoryStore());
    private final EndedJobs jobs = new EndedJobs(loop, store);

    private static List<String> idsOfOneBucket(int count) {
        IdTable table = new IdTable(BUCKET_BITS);
        int tagBits = 44;
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "job-" + i)
                .filter(id -> table.keyOf(id) >>> tagBits == 0)
                .limit(count)
                .toList();
    }

    @AfterEach
    void stop() {
        store.close();
        loop.stop();
    }

    @Test
    void vouchesForAllOthersWhileNoneIsForgotten() {
        CROWDED.subList(0, WAYS).forEach(jobs::add);
        jobs.storeLostData();
        assertTrue(jobs.vouchesForAbsence());
        CROWDED.subList(0, WAYS).forEach(id -> assertTrue(jobs.contains(id)));
    }

    /** The store still has the records of those that are forgotten here. */
    @Test
    void vouchesWhileTheStoreHasItsData() {
        CROWDED.forEach(jobs::add);
        assertTrue(jobs.vouchesForAbsence());
    }

    @Test
    void doesNotVouchOnceBothHaveForgotten() {
        CROWDED.forEach(jobs::add);
        jobs.storeLostData();
        assertFalse(jobs.vouchesForAbsence());
    }

    /** Jobs that ended before the loss, and are forgotten after it, are not in the store either. */
    @Test
    void doesNotVouchForThoseForgottenLater() {
        CROWDED.subList(0, WAYS).forEach(jobs::add);
        jobs.storeLostData();
        CROWDED.subList(WAYS, CROWDED.size()).forEach(jobs::add);
        assertFalse(jobs.vouchesForAbsence());
    }

    @Test
    void isReadFromTheStoreByALaterProcess() throws Exception {
        CROWDED.subList(0, WAYS).forEach(jobs::add);
        EndedJobs later = new EndedJobs(loop, store);
        CountDownLatch loaded = new CountDownLatch(1);
        loop.execute(() -> later.load(loaded::countDown));
        assertTrue(loaded.await(10, TimeUnit.SECONDS));
        CROWDED.subList(0, WAYS).forEach(id -> assertTrue(later.contains(id)));
        assertFalse(later.contains("another"));
    }
}
