package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.engine.IdTable;
import damsonslip.store.AsyncStore;
import damsonslip.store.StoreOperation;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Remembers the jobs that have ended and must not run again, so that a repeated push does not run
 * one a second time even if the store has lost its data. They are remembered for a day, as the
 * store remembers the records of ended jobs, and up to half a million of them in 4 MB; beyond that
 * the oldest are forgotten. {@link #vouchesForAbsence} tells whether a job that is neither here nor
 * in the store has certainly not run.
 *
 * <p>The store has a copy, which a later process reads at its start. Confined to the event loop.
 */
final class EndedJobs {
    private static final Logger LOG = LoggerFactory.getLogger(EndedJobs.class);

    private static final int BUCKET_BITS = 15;

    /** How long after its end a job is recognized. */
    private static final long RETENTION_MS = TimeUnit.DAYS.toMillis(1);

    /** The unit of the times in the table is 2^17 ms, some two minutes. */
    private static final int TIME_SHIFT = 17;

    /**
     * The copy in the store has a kind of metadata for each hour, which expires as a whole, and for
     * each value of some bits of the key, so that none is large.
     */
    private static final String METADATA_KIND = "ended:";

    private static final int PARTS_OF_HOUR = 16;
    private static final int RETAINED_HOURS = (int) TimeUnit.MILLISECONDS.toHours(RETENTION_MS);
    private static final long EXPIRY_S = TimeUnit.HOURS.toSeconds(RETAINED_HOURS + 2);

    private static final int HEXADECIMAL = 16;
    private static final long RETRY_DELAY_US = 500_000;
    private static final long NEVER = Long.MIN_VALUE;

    private final EventLoop loop;
    private final AsyncStore store;
    private final IdTable table = new IdTable(BUCKET_BITS);

    /** When the newest of the forgotten jobs had ended, at the latest. */
    private long newestForgottenMs = NEVER;

    /** The same, of the jobs that had ended before the store lost its data. */
    private long newestUnknownMs = NEVER;

    /** When the store lost its data last. */
    private long dataLostMs = NEVER;

    EndedJobs(EventLoop loop, AsyncStore store) {
        this.loop = loop;
        this.store = store;
        table.onEviction(this::forgotten);
    }

    private long nowMs() {
        return TimeUnit.MICROSECONDS.toMillis(loop.nowUs());
    }

    private void forgotten(long time) {
        long endedByMs = (time + 1) << TIME_SHIFT;
        newestForgottenMs = Math.max(newestForgottenMs, endedByMs);
        if (time << TIME_SHIFT <= dataLostMs) {
            newestUnknownMs = Math.max(newestUnknownMs, endedByMs);
        }
    }

    /** Remembers a job that has ended and must not run again. */
    void add(String jid) {
        long endedMs = nowMs();
        long key = table.keyOf(jid);
        table.addKey(key, endedMs >>> TIME_SHIFT, endedMs >>> TIME_SHIFT);
        write(key, endedMs);
    }

    /** Whether this job is known to have ended. */
    boolean contains(String jid) {
        return table.contains(jid);
    }

    /**
     * Whether a job that is neither here, nor open, nor in the store, has certainly not run. Not so
     * if the store has lost its data and jobs that had ended before were forgotten here as well.
     */
    boolean vouchesForAbsence() {
        return newestUnknownMs == NEVER || nowMs() > newestUnknownMs + RETENTION_MS;
    }

    /** Called when the store has lost its data. */
    void storeLostData() {
        dataLostMs = nowMs();
        newestUnknownMs = newestForgottenMs;
    }

    /** The number of parts in which {@link #rewrite} writes the copy. */
    int parts() {
        return table.buckets();
    }

    /** Writes a part of the copy again: those that have ended since this time. */
    void rewrite(int part, long sinceMs) {
        table.forEachIn(
                part,
                nowMs() >>> TIME_SHIFT,
                (key, time) -> {
                    long endedByMs = (time + 1) << TIME_SHIFT;
                    if (endedByMs >= sinceMs) {
                        write(key, time << TIME_SHIFT);
                    }
                });
    }

    private void write(long key, long endedMs) {
        long hour = TimeUnit.MILLISECONDS.toHours(endedMs);
        store.putMetadata(
                kindOf(hour, (int) (key % PARTS_OF_HOUR)),
                Long.toHexString(key),
                Long.toString(endedMs),
                EXPIRY_S);
    }

    private static String kindOf(long hour, int part) {
        return METADATA_KIND + hour + ":" + part;
    }

    /** Reads those that earlier processes have written, then calls back. */
    void load(Runnable onCompletion) {
        long hour = TimeUnit.MILLISECONDS.toHours(nowMs());
        new Loading(hour - RETAINED_HOURS, hour + 1, onCompletion).loadNextHour();
    }

    /** Reads the copy hour by hour, and repeats an hour until the store answers. */
    private final class Loading {
        private long hour;
        private final long lastHour;
        private final Runnable onCompletion;
        private int missingParts;
        private boolean failed;

        /**
         * @param lastHour may be in the future, since the wall clock may have been set back
         */
        Loading(long firstHour, long lastHour, Runnable onCompletion) {
            this.hour = firstHour;
            this.lastHour = lastHour;
            this.onCompletion = onCompletion;
        }

        void loadNextHour() {
            if (hour > lastHour) {
                onCompletion.run();
                return;
            }
            missingParts = PARTS_OF_HOUR;
            failed = false;
            for (int part = 0; part < PARTS_OF_HOUR; part++) {
                store.submit(
                        new StoreOperation.GetMetadata(kindOf(hour, part)),
                        this::loaded,
                        this::failed);
            }
        }

        private void loaded(Map<String, String> entries) {
            entries.forEach(EndedJobs.this::restore);
            partEnded();
        }

        private void failed() {
            failed = true;
            partEnded();
        }

        private void partEnded() {
            if (--missingParts > 0) {
                return;
            }
            if (failed) {
                loop.scheduleAfter(RETRY_DELAY_US, this::loadNextHour);
            } else {
                hour++;
                loadNextHour();
            }
        }
    }

    private void restore(String key, String endedMs) {
        try {
            table.addKey(
                    Long.parseUnsignedLong(key, HEXADECIMAL),
                    Long.parseLong(endedMs) >>> TIME_SHIFT,
                    nowMs() >>> TIME_SHIFT);
        } catch (NumberFormatException e) {
            LOG.warn("event=ended_job_unreadable key={} value={}", key, endedMs);
        }
    }
}
