package damsonslip.store;

import java.util.List;
import java.util.Map;

/**
 * One thing that a store is asked to do, as a value: that is what lets many of them share one
 * journey to the store. Each may be repeated without harm, since a lost reply does not tell whether
 * it was done.
 *
 * @param <T> what it gives
 */
public sealed interface StoreOperation<T> {
    /** The record that it writes, or null. */
    default JobRecord record() {
        return null;
    }

    /** Takes a new job in; gives the record that was there already, or null if there was none. */
    record Add(JobRecord record, String body) implements StoreOperation<JobRecord> {}

    /** Replaces a job's record. */
    record Put(JobRecord record) implements StoreOperation<Void> {}

    /** Replaces a job's record and its body. */
    record Replace(JobRecord record, String body) implements StoreOperation<Void> {}

    /**
     * Replaces a job's record, as it goes to a worker, and gives its body; null if there is none.
     */
    record Take(JobRecord record) implements StoreOperation<String> {}

    /** A job's record, or null. */
    record Get(String id) implements StoreOperation<JobRecord> {}

    /** Jobs' bodies in the same order; null for one that is not there. */
    record Bodies(List<String> ids) implements StoreOperation<List<String>> {}

    /** Forgets jobs wholly. */
    record Drop(List<String> ids) implements StoreOperation<Void> {}

    /** The ids of the jobs that this scheduler took in and that have no final state. */
    record Open() implements StoreOperation<List<String>> {}

    /** The records of these jobs, without those that are not there or are over. */
    record Load(List<String> ids) implements StoreOperation<List<JobRecord>> {}

    /** Keeps a few words under a kind and a key; null forgets them. */
    record Note(String kind, String key, String words) implements StoreOperation<Void> {}

    /** All notes of a kind. */
    record Notes(String kind) implements StoreOperation<Map<String, String>> {}

    /**
     * When a worker was first seen, by whichever scheduler; now, if never. In Unix milliseconds.
     */
    record FirstSeen(String worker, long nowMs) implements StoreOperation<Long> {}
}
