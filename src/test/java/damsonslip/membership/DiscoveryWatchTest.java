package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One scheduler's watch of discovery: how long its list may be used, and when it polls. */
class DiscoveryWatchTest {
    private static final long SECOND = 1_000_000;
    private static final long POLL_INTERVAL = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /**
     * Time from a change until lists without it expire: 6 s, plus the grace less the send margin.
     */
    private static final long LEASE = 6 * SECOND + GRACE - 150_000;

    private static DiscoveryWatch watch(int schedulers, int index) {
        return new DiscoveryWatch(schedulers, index, POLL_INTERVAL, GRACE);
    }

    private static DiscoveryWatch openWatch() {
        DiscoveryWatch watch = watch(1, 0);
        watch.pollSent(watch.start(0, 0.5));
        watch.updateReceived();
        return watch;
    }

    @Test
    void keepsListValidWhileWatchIsOpen() {
        assertTrue(openWatch().isValid(1_000 * SECOND));
    }

    @Test
    void shortensLeaseOfCachedListByRestartTime() {
        DiscoveryWatch watch = watch(100, 7);
        watch.start(50 * SECOND, 0.5);
        assertTrue(watch.isValid(50 * SECOND + LEASE - 2 * SECOND - 1));
        assertFalse(
                watch.isValid(50 * SECOND + LEASE - 2 * SECOND),
                "changes since the end of the previous process may be missing");
    }

    @Test
    void expiresListAfterPropagationAndGraceWhenWatchIsReset() {
        DiscoveryWatch watch = openWatch();
        watch.failed(Failure.FAILED, 20 * SECOND, 20 * SECOND, 0.5);
        assertTrue(watch.isValid(20 * SECOND + LEASE - 1));
        assertFalse(watch.isValid(20 * SECOND + LEASE));
    }

    @Test
    void countsLeaseOfSilentWatchFromLastReceivedData() {
        DiscoveryWatch watch = openWatch();
        watch.failed(Failure.SILENT, 20 * SECOND, 23 * SECOND, 0.5);
        assertFalse(watch.isValid(20 * SECOND + LEASE));
    }

    /**
     * If discovery is unreachable, it cannot have sent a change to any scheduler; if it rejects
     * polls, it may have sent changes to all others.
     */
    @ParameterizedTest
    @CsvSource({
        "FAILED,FAILED,false",
        "SILENT,FAILED,false",
        "FAILED,UNREACHABLE,true",
        "SILENT,UNREACHABLE,true"
    })
    void extendsListAfterFailedPollOnlyWhenDiscoveryIsUnreachable(
            Failure watchFailure, Failure pollFailure, boolean extended) {
        DiscoveryWatch watch = openWatch();
        watch.failed(watchFailure, 20 * SECOND, 20 * SECOND, 0.5);
        watch.pollSent(21 * SECOND);
        watch.failed(pollFailure, 21 * SECOND, 23 * SECOND, 0.5);
        assertEquals(extended, watch.isValid(20 * SECOND + LEASE));
        assertFalse(watch.isValid(21 * SECOND + LEASE));
    }

    @Test
    void extendsListWhenPollsFailForLongerThanShortOutage() {
        DiscoveryWatch watch = openWatch();
        watch.failed(Failure.SILENT, 20 * SECOND, 23 * SECOND, 0.5);
        for (long at = 24 * SECOND; at < 44 * SECOND; at += 5 * SECOND) {
            assertFalse(watch.isValid(23 * SECOND + LEASE), "a short outage may last as long");
            watch.pollSent(at);
            watch.failed(Failure.FAILED, at, at + 2 * SECOND, 0.5);
        }
        assertTrue(watch.isValid(42 * SECOND));
    }

    @Test
    void shortensLeaseForShorterPollInterval() {
        DiscoveryWatch watch = new DiscoveryWatch(1, 0, 2 * SECOND, GRACE);
        watch.pollSent(watch.start(0, 0.5));
        watch.updateReceived();
        watch.failed(Failure.FAILED, 20 * SECOND, 20 * SECOND, 0.5);
        assertFalse(watch.isValid(20 * SECOND + 2 * SECOND + GRACE));
    }

    /** What is observed at the old address says nothing about the new one in the configuration. */
    @Test
    void expiresListWhenConfigurationIsUnreadable() {
        DiscoveryWatch watch = openWatch();
        watch.configurationUnreadable(20 * SECOND);
        watch.configurationUnreadable(22 * SECOND);
        watch.failed(Failure.FAILED, 21 * SECOND, 21 * SECOND, 0.5);
        watch.pollSent(22 * SECOND);
        watch.failed(Failure.UNREACHABLE, 22 * SECOND, 22 * SECOND, 0.5);
        assertTrue(watch.isValid(20 * SECOND + LEASE - 2 * SECOND - 1));
        assertFalse(
                watch.isValid(20 * SECOND + LEASE - 2 * SECOND),
                "4 s and the grace after the first reload request");
        watch.configurationRead();
        assertTrue(watch.isValid(20 * SECOND + LEASE));
    }

    @Test
    void pollsPromptlyAfterSilence() {
        DiscoveryWatch watch = watch(100, 7);
        watch.pollSent(watch.start(0, 0.5));
        watch.updateReceived();
        assertTrue(
                watch.failed(Failure.SILENT, 20 * SECOND, 23 * SECOND, 0.99)
                        < 23 * SECOND + SECOND / 4);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 20, 100, 1_024})
    void givesEachSchedulerItsOwnSlot(int schedulers) {
        List<Long> pollTimes = new ArrayList<>();
        for (int index = 0; index < schedulers; index++) {
            DiscoveryWatch watch = watch(schedulers, index);
            watch.pollSent(watch.start(0, 0.5));
            watch.updateReceived();
            long resetAt = 1_700_000_000L * SECOND + 123_456;
            pollTimes.add(watch.failed(Failure.FAILED, resetAt, resetAt, 0.5));
        }
        assertEquals(schedulers, pollTimes.stream().distinct().count());
    }

    /** A backoff that skipped the scheduler's own slot would cost a whole cycle. */
    @Test
    void retriesTimedOutPollOneCycleLater() {
        DiscoveryWatch watch = watch(100, 42);
        watch.pollSent(watch.start(0, 0.5));
        watch.updateReceived();
        long first = watch.failed(Failure.FAILED, 20 * SECOND, 20 * SECOND, 0.5);
        for (int i = 0; i < 6; i++) {
            watch.pollSent(first);
            long next = watch.failed(Failure.FAILED, first, first + 2 * SECOND, 0.99);
            assertEquals(first + 4_500_000, next, "failure " + i);
            first = next;
        }
    }

    /** The cached list of a starting process may be old: only a prompt poll renews it in time. */
    @Test
    void pollsPromptlyAtStart() {
        assertTrue(watch(100, 42).start(7 * SECOND, 0.99) <= 7 * SECOND + SECOND * 2 / 5);
    }

    /** The response to the first poll contains the changes made while no process was running. */
    @Test
    void defersCachedListUntilFirstPollEnds() {
        DiscoveryWatch answered = watch(1, 0);
        answered.pollSent(answered.start(0, 0.5));
        assertFalse(answered.isUsable(SECOND));
        answered.updateReceived();
        assertTrue(answered.isUsable(SECOND));
        DiscoveryWatch failed = watch(1, 0);
        failed.pollSent(failed.start(0, 0.5));
        failed.failed(Failure.FAILED, SECOND, SECOND, 0.5);
        assertTrue(failed.isUsable(SECOND), "no newer list is available");
        DiscoveryWatch late = watch(1, 0);
        late.pollSent(late.start(9 * SECOND, 0.5));
        late.processLaunched(0);
        assertFalse(late.isValid(9 * SECOND));
        assertTrue(late.mayBecomeUsable(9 * SECOND), "its first poll may return a list");
        late.failed(Failure.FAILED, 10 * SECOND, 10 * SECOND, 0.5);
        assertFalse(late.mayBecomeUsable(10 * SECOND));
        DiscoveryWatch unanswered = watch(1, 0);
        unanswered.pollSent(unanswered.start(0, 0.5));
        assertTrue(unanswered.isUsable(2 * SECOND), "a job cannot wait indefinitely");
    }

    /** A process starts during a long outage of discovery. */
    @ParameterizedTest
    @CsvSource({"1,15", "6,20", "14,27", "20,120", "100,120"})
    void reusesCachedListOnlyInSmallFleetDuringLastingOutage(int schedulers, int notBeforeS) {
        DiscoveryWatch watch = watch(schedulers, schedulers / 2);
        long next = watch.start(0, 0.5);
        while (next < notBeforeS * SECOND) {
            watch.pollSent(next);
            next = watch.failed(Failure.FAILED, next, next + 2 * SECOND, 0.5);
            assertFalse(
                    watch.isValid(Math.max(next, LEASE)),
                    "the polls of a fleet that restarts after a short outage fail for as long");
        }
        for (int i = 0; i < 3; i++) {
            watch.pollSent(next);
            next = watch.failed(Failure.FAILED, next, next + 2 * SECOND, 0.5);
        }
        assertEquals(schedulers <= 14, watch.isValid(next));
    }

    /** A poll timer that fires while the watch is open must not start another poll. */
    @Test
    void ignoresPollTimerWhileWatchIsOpen() {
        DiscoveryWatch watch = openWatch();
        watch.pollSent(10 * SECOND);
        watch.failed(Failure.SILENT, 20 * SECOND, 23 * SECOND, 0.5);
        assertFalse(watch.isValid(20 * SECOND + LEASE));
    }
}
