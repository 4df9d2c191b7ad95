package damsonslip.store;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An operation on a {@link JobStore}, as a value, so that many can share one round trip. After a
 * lost reply it is unknown whether it was executed. Each is idempotent by itself, and not after
 * another operation on the same key: {@link AsyncStore} alone repeats operations, and only those
 * that state what is to be stored. Immutable.
 *
 * @param <T> the type of its result
 */
public sealed interface StoreOperation<T> {
    /** The keys that the operation writes; empty if it only reads. */
    default List<StoreKey> keys() {
        return List.of();
    }

    /** The same operation for some of its keys only. */
    default StoreOperation<T> limitedTo(Set<StoreKey> some) {
        return this;
    }

    /** Calls the visitor's method for this type of operation. */
    <R> R accept(Visitor<R> visitor);

    /**
     * Handles each type of operation.
     *
     * @param <R> what the methods return
     */
    interface Visitor<R> {
        /** Visits an {@link Add}. */
        R visit(Add operation);

        /** Visits a {@link Put}. */
        R visit(Put operation);

        /** Visits a {@link Replace}. */
        R visit(Replace operation);

        /** Visits a {@link Reserve}. */
        R visit(Reserve operation);

        /** Visits a {@link Get}. */
        R visit(Get operation);

        /** Visits a {@link GetBodies}. */
        R visit(GetBodies operation);

        /** Visits a {@link Delete}. */
        R visit(Delete operation);

        /** Visits a {@link ListOpen}. */
        R visit(ListOpen operation);

        /** Visits a {@link LoadOpen}. */
        R visit(LoadOpen operation);

        /** Visits a {@link PutMetadata}. */
        R visit(PutMetadata operation);

        /** Visits a {@link GetMetadata}. */
        R visit(GetMetadata operation);

        /** Visits a {@link RecordFirstSeen}. */
        R visit(RecordFirstSeen operation);
    }

    /** Adds a new job; returns the record that existed already, or null if there was none. */
    record Add(JobRecord record, String body) implements StoreOperation<JobRecord> {
        @Override
        public List<StoreKey> keys() {
            return List.of(StoreKey.ofJob(record.id()));
        }

        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Replaces a job's record. */
    record Put(JobRecord record) implements StoreOperation<Void> {
        @Override
        public List<StoreKey> keys() {
            return List.of(StoreKey.ofJob(record.id()));
        }

        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Replaces a job's record and its body. */
    record Replace(JobRecord record, String body) implements StoreOperation<Void> {
        @Override
        public List<StoreKey> keys() {
            return List.of(StoreKey.ofJob(record.id()));
        }

        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Replaces the record of a job that a worker reserves; returns its body, or null if absent. */
    record Reserve(JobRecord record) implements StoreOperation<String> {
        @Override
        public List<StoreKey> keys() {
            return List.of(StoreKey.ofJob(record.id()));
        }

        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Returns a job's record, or null. */
    record Get(String id) implements StoreOperation<JobRecord> {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Returns the bodies of jobs in the order of the ids; null for one that is absent. */
    record GetBodies(List<String> ids) implements StoreOperation<List<String>> {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Deletes jobs with their records and bodies. */
    record Delete(List<String> ids) implements StoreOperation<Void> {
        @Override
        public List<StoreKey> keys() {
            return ids.stream().map(StoreKey::ofJob).toList();
        }

        @Override
        public Delete limitedTo(Set<StoreKey> some) {
            return new Delete(some.stream().map(StoreKey::id).toList());
        }

        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /**
     * Returns the ids of the jobs that this scheduler accepted and that are not in a final state.
     */
    record ListOpen() implements StoreOperation<List<String>> {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Returns the records of these jobs, without those that are absent or in a final state. */
    record LoadOpen(List<String> ids) implements StoreOperation<List<JobRecord>> {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /**
     * Writes a value of this scheduler's metadata under a kind and a key; null deletes it.
     *
     * @param expiryS the time in seconds after which all values of the kind are forgotten; 0 for
     *     never
     */
    record PutMetadata(String kind, String key, String value, long expiryS)
            implements StoreOperation<Void> {
        /** Writes a value that does not expire. */
        public PutMetadata(String kind, String key, String value) {
            this(kind, key, value, 0);
        }

        @Override
        public List<StoreKey> keys() {
            return List.of(new StoreKey(kind, key));
        }

        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Returns all metadata values of a kind, by key. */
    record GetMetadata(String kind) implements StoreOperation<Map<String, String>> {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /**
     * Returns when a worker was first seen by any scheduler, in milliseconds since the Unix epoch;
     * records {@code nowMs} if it was not seen before.
     */
    record RecordFirstSeen(String worker, long nowMs) implements StoreOperation<Long> {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visit(this);
        }
    }
}
