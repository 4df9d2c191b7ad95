package damsonslip.faktory.sets;

import damsonslip.Dispatch.Effect;
import damsonslip.Dispatch.Group;
import damsonslip.Dispatch.JobClass;
import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Failure;
import damsonslip.store.JobRecord.State;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * What becomes of a job. The protocol's retry count decides, and above it the class: what must not run twice never
 * goes back to a queue once a worker may have had it, whoever asks for that.
 */
public final class Fate {
    /** The protocol's backoff: the first retry comes after this long at the least, in seconds. */
    private static final int LEAST_BACKOFF_S = 15;
    /** Seconds of chance for each failure so far: keeps what failed together from coming back together. */
    private static final int SPREAD_S = 30;
    /** The fourth power would pass a year here; an operator who grants more retries than that waits no longer. */
    private static final int MOST_COUNT = 75;
    /** A reserved job found at a start is given up this long after it if its worker has not come back. */
    public static final long ORPHAN_MS = 60_000;

    private Fate() { }

    /** What becomes of a job that has failed. */
    public record Next(State state, long dueMs, Failure failure, String words) { }

    /** What a start does with a job from the store. */
    public enum Recovery {
        /** Goes to its set, and comes from there in its turn. */
        PLACE,
        /** Goes to the module at once, since somebody waits for it. */
        HAND_OVER,
        /** A worker may have it: its word, or the end of its time, is awaited. */
        AWAIT_WORD,
        /** Nobody waits any more, and it never ran. */
        OUT_OF_TIME
    }

    /** Milliseconds until the next try after so many: count^4 + 15 + rand(30)*(count+1) seconds. */
    public static long backoffMs(int count, SplittableRandom random) {
        long n = Math.min(count, MOST_COUNT);
        return TimeUnit.SECONDS.toMillis(n * n * n * n + LEAST_BACKOFF_S + random.nextInt(SPREAD_S) * (n + 1));
    }

    /** Whether a worker may get it at this time, as far as its class goes. */
    public static boolean mayRun(JobRecord record, JobClass of, long atMs) {
        return record.neverRan() || of.effect() == Effect.SAFE
            || of.effect() == Effect.KEYED && of.group() == Group.ALL
            && atMs < record.firstRunMs() + of.windowUs() / 1000;
    }

    /**
     * A run has failed: by its worker's word, by its worker's going, or by the end of its reservation.
     *
     * @param how   the worker's own words, or what was seen instead
     * @param nowMs the time now
     */
    public static Next failed(JobRecord record, JobClass of, Words how, long nowMs, SplittableRandom random) {
        int retry = record.facts().retry();
        int count = record.failure() == null ? 0 : record.failure().count() + 1;
        Failure failure = failure(count, nowMs, 0, how, record.facts().backtrace());
        String said = how.type() + ": " + how.message();
        if (of.effect() == Effect.UNSAFE) {
            return new Next(State.DEAD, nowMs, failure, "it may have run and its class must not run twice; " + said);
        }
        if (retry == 0) {
            return new Next(State.DISCARDED, 0, failure, "failed, with no retry; " + said);
        }
        if (retry < 0 || count >= retry) {
            return new Next(State.DEAD, nowMs, failure, (retry < 0 ? "" : "no retries are left; ") + said);
        }
        long at = nowMs + backoffMs(count, random);
        if (!mayRun(record, of, at)) {
            return new Next(State.DEAD, nowMs, failure,
                "it may have run, and a retry would come after its key's window; " + said);
        }
        return new Next(State.RETRY, at, failure(count, nowMs, at, how, record.facts().backtrace()), said);
    }

    private static Failure failure(int count, long nowMs, long nextMs, Words how, int backtrace) {
        return new Failure(count, nowMs, nextMs, how.type(), how.message(),
            how.backtrace().subList(0, Math.min(how.backtrace().size(), backtrace)));
    }

    /** How a run failed, in words. */
    public record Words(String type, String message, List<String> backtrace) {
        public static final Words LAPSED =
            new Words("ReservationExpired", "its worker kept it too long without a word", List.of());
        public static final Words GONE = new Words("WorkerGone", "its worker went away with it", List.of());
        public static final Words LATE = new Words("OutOfTime", "its time ran out with its worker", List.of());
    }

    /** What a start does with this job; what it may have done before the stop decides. */
    public static Recovery recovered(JobRecord record, JobClass of, long nowMs) {
        boolean over = record.awaited() && nowMs >= record.facts().deadlineMs();
        return switch (record.state()) {
            case QUEUED -> !record.awaited() ? Recovery.PLACE : over && record.neverRan() ? Recovery.OUT_OF_TIME
                : mayRun(record, of, nowMs) ? Recovery.HAND_OVER : Recovery.AWAIT_WORD;
            case RESERVED -> record.awaited() && !over && of.effect() == Effect.SAFE
                ? Recovery.HAND_OVER : Recovery.AWAIT_WORD;
            default -> Recovery.PLACE;
        };
    }

    /** Until when the word of a worker that had a job before the stop is awaited, if that worker has come back. */
    public static long wordUntilMs(JobRecord record) {
        long reserved = record.updatedMs() + record.facts().reserveMs();
        return record.awaited() ? Math.min(reserved, record.facts().deadlineMs()) : reserved;
    }
}
