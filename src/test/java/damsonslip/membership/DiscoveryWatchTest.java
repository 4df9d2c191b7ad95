package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.membership.DiscoveryWatch.Loss;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongBinaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One scheduler's watch on discovery, and a fleet of them before one that serves calls one after
 * another.
 */
class DiscoveryWatchTest {
    private static final long SECOND = 1_000_000;
    private static final long ASK_EVERY = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /**
     * From a change until nothing is sent any more that its news would forbid: 6 s, and the grace
     * less its margin.
     */
    private static final long TOLD = 6 * SECOND + GRACE - 150_000;

    private static DiscoveryWatch watch(int schedulers, int number) {
        return new DiscoveryWatch(schedulers, number, ASK_EVERY, GRACE);
    }

    private static DiscoveryWatch openWatch() {
        DiscoveryWatch watch = watch(1, 0);
        watch.called(watch.start(0, 0.5));
        watch.received();
        return watch;
    }

    // ---- how long a list may be used

    @Test
    void anOpenWatchVouchesForItsList() {
        assertTrue(openWatch().isValid(1_000 * SECOND));
    }

    @Test
    void theListOfTheProcessBeforeHoldsForLessThanOnesOwn() {
        DiscoveryWatch watch = watch(100, 7);
        watch.start(50 * SECOND, 0.5);
        assertTrue(watch.isValid(50 * SECOND + TOLD - 2 * SECOND - 1));
        assertFalse(
                watch.isValid(50 * SECOND + TOLD - 2 * SECOND),
                "its news may be missed since the end of that one");
    }

    @Test
    void aListHoldsFromTheResetOfItsWatchUntilAChangeBehindItCounts() {
        DiscoveryWatch watch = openWatch();
        watch.lost(Loss.FAILED, 20 * SECOND, 20 * SECOND, 0.5);
        assertTrue(watch.isValid(20 * SECOND + TOLD - 1));
        assertFalse(watch.isValid(20 * SECOND + TOLD));
    }

    @Test
    void silenceCountsFromTheLastWordAndNotFromItsDiscovery() {
        DiscoveryWatch watch = openWatch();
        watch.lost(Loss.SILENT, 20 * SECOND, 23 * SECOND, 0.5);
        assertFalse(watch.isValid(20 * SECOND + TOLD));
    }

    /**
     * Discovery that cannot be reached has told nobody anything; one that refuses may have told all
     * others.
     */
    @ParameterizedTest
    @CsvSource({
        "FAILED,FAILED,false",
        "SILENT,FAILED,false",
        "FAILED,UNREACHABLE,true",
        "SILENT,UNREACHABLE,true"
    })
    void aFailedCallProlongsOnlyWhereDiscoveryCannotBeReached(
            Loss end, Loss ofCall, boolean prolongs) {
        DiscoveryWatch watch = openWatch();
        watch.lost(end, 20 * SECOND, 20 * SECOND, 0.5);
        watch.called(21 * SECOND);
        watch.lost(ofCall, 21 * SECOND, 23 * SECOND, 0.5);
        assertEquals(prolongs, watch.isValid(20 * SECOND + TOLD));
        assertFalse(watch.isValid(21 * SECOND + TOLD));
    }

    @Test
    void callsThatGoOnFailingTellOfAnOutageThatLasts() {
        DiscoveryWatch watch = openWatch();
        watch.lost(Loss.SILENT, 20 * SECOND, 23 * SECOND, 0.5);
        for (long at = 24 * SECOND; at < 44 * SECOND; at += 5 * SECOND) {
            assertFalse(watch.isValid(23 * SECOND + TOLD), "not yet");
            watch.called(at);
            watch.lost(Loss.FAILED, at, at + 2 * SECOND, 0.5);
        }
        assertTrue(watch.isValid(42 * SECOND));
    }

    @Test
    void settingsThatAskMoreOftenShortenTheTime() {
        DiscoveryWatch watch = new DiscoveryWatch(1, 0, 2 * SECOND, GRACE);
        watch.called(watch.start(0, 0.5));
        watch.received();
        watch.lost(Loss.FAILED, 20 * SECOND, 20 * SECOND, 0.5);
        assertFalse(watch.isValid(20 * SECOND + 2 * SECOND + GRACE));
    }

    /** The old address says nothing of the new one, which only the configuration names. */
    @Test
    void aConfigurationThatCannotBeReadEndsTheListWhateverTheOldAddressDoes() {
        DiscoveryWatch watch = openWatch();
        watch.configurationUnread(20 * SECOND);
        watch.configurationUnread(22 * SECOND);
        watch.lost(Loss.FAILED, 21 * SECOND, 21 * SECOND, 0.5);
        watch.called(22 * SECOND);
        watch.lost(Loss.UNREACHABLE, 22 * SECOND, 22 * SECOND, 0.5);
        assertTrue(watch.isValid(20 * SECOND + TOLD - 2 * SECOND - 1));
        assertFalse(
                watch.isValid(20 * SECOND + TOLD - 2 * SECOND),
                "4 s and the grace after the first signal");
        watch.configurationRead();
        assertTrue(watch.isValid(20 * SECOND + TOLD));
    }

    // ---- when to call

    @Test
    void aWatchThatFellSilentIsCalledAgainAtOnce() {
        DiscoveryWatch watch = watch(100, 7);
        watch.called(watch.start(0, 0.5));
        watch.received();
        assertTrue(
                watch.lost(Loss.SILENT, 20 * SECOND, 23 * SECOND, 0.99) < 23 * SECOND + SECOND / 4);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 20, 100, 1_024})
    void noTwoSchedulersShareASlot(int schedulers) {
        List<Long> calls = new ArrayList<>();
        for (int number = 0; number < schedulers; number++) {
            DiscoveryWatch watch = watch(schedulers, number);
            watch.called(watch.start(0, 0.5));
            watch.received();
            long lost = 1_700_000_000L * SECOND + 123_456;
            calls.add(watch.lost(Loss.FAILED, lost, lost, 0.5));
        }
        assertEquals(schedulers, calls.stream().distinct().count());
    }

    /** A back-off that skipped the own slot would cost a whole cycle. */
    @Test
    void aCallThatWaitedAndFailedIsRepeatedOneCycleLater() {
        DiscoveryWatch watch = watch(100, 42);
        watch.called(watch.start(0, 0.5));
        watch.received();
        long first = watch.lost(Loss.FAILED, 20 * SECOND, 20 * SECOND, 0.5);
        for (int i = 0; i < 6; i++) {
            watch.called(first);
            long next = watch.lost(Loss.FAILED, first, first + 2 * SECOND, 0.99);
            assertEquals(first + 4_500_000, next, "failure " + i);
            first = next;
        }
    }

    // ---- a fleet

    /** One call or loss that is due. */
    private record Due(long at, int number, Loss loss) {}

    /**
     * Discovery that serves calls one after another, and spends as much on those that waited too
     * long.
     */
    private static final class Fleet {
        private static final long MOST_WAIT = 2 * SECOND;

        /**
         * What all calls of a fleet cost it together, as measured with 98 schedulers: 61 ms each
         * soon after its return,
         */
        static final long COST_AT_RETURN = 6_000_000;

        /**
         * and up to 71 ms each in the midst of a release, when 54 workers had changed; a tenth more
         * than that.
         */
        static final long COST_IN_RELEASE = 7_600_000;

        final long[] toldAt;
        int most;

        /** Those who call, if they are to know of it. */
        DiscoveryWatch[] watches;

        private final PriorityQueue<Due> due =
                new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        private final long cost;

        /**
         * Changes of the list come this often during a release, and one goes to each open watch.
         */
        private static final long CHANGE_EVERY = 1_100_000;

        /** A change costs this part of a call. */
        private static final int PUSH_PART = 60;

        private final long downUntil;
        private final List<Long> calls = new ArrayList<>();
        private long busyUntil;
        private long nextChange;

        Fleet(int schedulers, long costOfAll, long downUntil) {
            toldAt = new long[schedulers];
            cost = costOfAll / schedulers;
            this.downUntil = downUntil;
        }

        void callAt(int number, long at) {
            due.add(new Due(at, number, null));
        }

        /**
         * Plays until nothing is due any more, or the end; {@code again} tells from number and time
         * when to call again.
         */
        Fleet play(long end, LongBinaryOperator again) {
            while (!due.isEmpty() && due.peek().at() < end) {
                Due next = due.poll();
                if (next.loss() != null) {
                    callAt(next.number(), again.applyAsLong(next.number(), next.at()));
                } else {
                    call(next.number(), next.at());
                }
            }
            return this;
        }

        private void call(int number, long at) {
            calls.add(at);
            if (watches != null) {
                watches[number].called(at);
            }
            most =
                    Math.max(
                            most,
                            (int) calls.stream().filter(other -> other > at - SECOND).count());
            boolean down = at < downUntil;
            push(at);
            long wait = Math.max(0, busyUntil - at);
            if (!down) {
                busyUntil = Math.max(busyUntil, at) + cost;
            }
            if (down || wait > MOST_WAIT) {
                due.add(new Due(at + MOST_WAIT, number, Loss.FAILED));
            } else {
                toldAt[number] = at + wait + cost;
            }
        }

        private void push(long until) {
            for (nextChange = Math.max(nextChange, downUntil);
                    nextChange < until;
                    nextChange += CHANGE_EVERY) {
                long open = Arrays.stream(toldAt).filter(at -> at > 0).count();
                busyUntil = Math.max(busyUntil, nextChange) + open * cost / PUSH_PART;
            }
        }

        int late(long by) {
            int late = 0;
            for (long at : toldAt) {
                late += at == 0 || at > by ? 1 : 0;
            }
            return late;
        }
    }

    private static LongBinaryOperator bySlots(DiscoveryWatch[] watches) {
        Random random = new Random(3);
        return (number, now) ->
                watches[(int) number].lost(Loss.FAILED, now, now, random.nextDouble());
    }

    private static DiscoveryWatch[] watches(int schedulers) {
        DiscoveryWatch[] watches = new DiscoveryWatch[schedulers];
        for (int number = 0; number < schedulers; number++) {
            watches[number] = watch(schedulers, number);
        }
        return watches;
    }

    /** All have open watches, which are reset then. */
    private static void loseAll(Fleet fleet, long at, Random random) {
        for (int number = 0; number < fleet.watches.length; number++) {
            DiscoveryWatch watch = fleet.watches[number];
            watch.called(watch.start(0, 0.5));
            watch.received();
            fleet.callAt(number, watch.lost(Loss.FAILED, at, at, random.nextDouble()));
        }
    }

    /**
     * All watches are reset at once and discovery is down for 8 s: all are told before a change at
     * its return counts.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 120})
    void aWholeFleetIsToldInTimeOfTheReturn(int schedulers) {
        DiscoveryWatch[] watches = watches(schedulers);
        Fleet fleet = new Fleet(schedulers, Fleet.COST_AT_RETURN, 18 * SECOND);
        fleet.watches = watches;
        Random random = new Random(5);
        loseAll(fleet, 10 * SECOND, random);
        fleet.play(60 * SECOND, bySlots(watches));
        assertEquals(0, fleet.late(18 * SECOND + TOLD));
        assertTrue(fleet.most <= schedulers / 4 + 3, "calls in a second: " + fleet.most);
    }

    /**
     * The list of a process that starts may be of long ago: only a call at once tells it in time.
     */
    @Test
    void whoStartsCallsAtOnce() {
        assertTrue(watch(100, 42).start(7 * SECOND, 0.99) <= 7 * SECOND + SECOND * 2 / 5);
    }

    /**
     * Seven in ten start again at once, more than can be served: none goes on with its old list for
     * that, all are told.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 120})
    void aHerdThatStartsAgainIsToldAndDoesNotTrustItsOldList(int schedulers) {
        DiscoveryWatch[] watches = watches(schedulers);
        Fleet fleet = new Fleet(schedulers, Fleet.COST_IN_RELEASE, 0);
        fleet.watches = watches;
        for (int number = 0; number < schedulers; number++) {
            fleet.toldAt[number] = 1; // but for those that start again it has a watch
        }
        long last = 0;
        for (int number = 0; number < schedulers * 7 / 10; number++) {
            fleet.toldAt[number] = 0;
            last = 20 * SECOND + number * 1_000L;
            fleet.callAt(number, watches[number].start(last, 0.5));
        }
        long counts = last + TOLD;
        Random random = new Random(3);
        fleet.play(
                60 * SECOND,
                (number, now) -> {
                    DiscoveryWatch watch = watches[(int) number];
                    long next = watch.lost(Loss.FAILED, now, now, random.nextDouble());
                    assertFalse(
                            watch.isValid(counts),
                            number + " trusts its list after a failure at " + now);
                    return next;
                });
        assertEquals(0, fleet.late(20 * SECOND + 15 * SECOND));
    }

    /**
     * What has happened while nobody ran comes with the first call; until then the old list is held
     * back, for a while.
     */
    @Test
    void whoStartsWaitsForItsFirstCall() {
        DiscoveryWatch told = watch(1, 0);
        told.called(told.start(0, 0.5));
        assertFalse(told.isUsable(SECOND));
        told.received();
        assertTrue(told.isUsable(SECOND));
        DiscoveryWatch failed = watch(1, 0);
        failed.called(failed.start(0, 0.5));
        failed.lost(Loss.FAILED, SECOND, SECOND, 0.5);
        assertTrue(failed.isUsable(SECOND), "there is no news to be had");
        DiscoveryWatch late = watch(1, 0);
        late.called(late.start(9 * SECOND, 0.5));
        late.launched(0);
        assertFalse(late.isValid(9 * SECOND));
        assertTrue(late.mayWait(9 * SECOND), "its first call may bring a list");
        late.lost(Loss.FAILED, 10 * SECOND, 10 * SECOND, 0.5);
        assertFalse(late.mayWait(10 * SECOND));
        DiscoveryWatch unanswered = watch(1, 0);
        unanswered.called(unanswered.start(0, 0.5));
        assertTrue(unanswered.isUsable(2 * SECOND), "a job cannot wait for ever");
    }

    /**
     * A start while discovery is down for long: a small fleet uses the list that was kept again, a
     * large one does not.
     */
    @ParameterizedTest
    @CsvSource({"1,15", "6,20", "14,27", "20,120", "100,120"})
    void aStartBesideADiscoveryThatIsDownUsesItsListAgain(int schedulers, int notBeforeS) {
        DiscoveryWatch watch = watch(schedulers, schedulers / 2);
        long next = watch.start(0, 0.5);
        while (next < notBeforeS * SECOND) {
            watch.called(next);
            next = watch.lost(Loss.FAILED, next, next + 2 * SECOND, 0.5);
            assertFalse(
                    watch.isValid(Math.max(next, TOLD)),
                    "as a herd behind a short outage may have it");
        }
        for (int i = 0; i < 3; i++) {
            watch.called(next);
            next = watch.lost(Loss.FAILED, next, next + 2 * SECOND, 0.5);
        }
        assertEquals(schedulers <= 14, watch.isValid(next));
    }

    /**
     * An outage that was taken for one that lasts ends: behind its return a whole fleet calls, and
     * not all are served.
     */
    @ParameterizedTest
    @CsvSource({
        "3,900000",
        "6,1800000",
        "14,4200000",
        "20,6000000",
        "40,6900000",
        "60,6900000",
        "100,6900000",
        "120,6900000"
    })
    void theReturnOfALongOutageIsNotTakenForMoreOfIt(int schedulers, long costOfAll) {
        for (long outage = 8 * SECOND; outage <= 60 * SECOND; outage += SECOND / 2) {
            long returns = 10 * SECOND + outage;
            DiscoveryWatch[] watches = watches(schedulers);
            Fleet fleet = new Fleet(schedulers, costOfAll, returns);
            fleet.watches = watches;
            Random random = new Random(5);
            loseAll(fleet, 10 * SECOND, random);
            fleet.play(
                    returns + 60 * SECOND,
                    (number, now) -> {
                        DiscoveryWatch watch = watches[(int) number];
                        long next = watch.lost(Loss.FAILED, now, now, random.nextDouble());
                        boolean valid = watch.isValid(Math.max(now, returns + TOLD));
                        assertFalse(
                                valid,
                                number
                                        + " uses its list behind a failure at "
                                        + now
                                        + ", return at "
                                        + returns);
                        return next;
                    });
        }
    }

    private static boolean stays(long number) {
        return number % 10 < 3;
    }

    /**
     * An outage of 8 s that begins in the fleet's first calls, or under its open watches, and seven
     * in ten that start again behind it: who stayed takes the calls that fail for want of time for
     * none of the outage, whose changes count by then.
     */
    @ParameterizedTest
    @CsvSource({
        "6,true",
        "14,true",
        "20,true",
        "60,true",
        "100,true",
        "120,true",
        "6,false",
        "14,false",
        "20,false",
        "60,false",
        "100,false",
        "120,false"
    })
    void aHerdBehindAnOutageIsNotTakenForTheOutage(int schedulers, boolean inFirstCalls) {
        long down = 2_800_000;
        long returns = down + 8 * SECOND;
        DiscoveryWatch[] watches = watches(schedulers);
        Fleet fleet =
                new Fleet(
                        schedulers, Math.min(Fleet.COST_IN_RELEASE, 300_000 * schedulers), returns);
        fleet.watches = watches;
        Random random = new Random(5);
        for (int number = 0; number < schedulers; number++) {
            boolean stays = stays(number);
            long first =
                    watches[number].start(stays ? 0 : returns + 3_400_000, random.nextDouble());
            if (stays && !inFirstCalls) {
                watches[number].called(first);
                watches[number].received();
                first = watches[number].lost(Loss.FAILED, down, down, random.nextDouble());
            }
            fleet.callAt(number, first);
        }
        fleet.play(
                60 * SECOND,
                (number, now) -> {
                    DiscoveryWatch watch = watches[(int) number];
                    long next = watch.lost(Loss.FAILED, now, now, random.nextDouble());
                    boolean valid = stays(number) && watch.isValid(Math.max(now, returns + TOLD));
                    assertFalse(valid, number + " uses its list behind a failure at " + now);
                    return next;
                });
        assertEquals(0, fleet.late(60 * SECOND));
    }

    /** A second timer that finds the watch open changes nothing. */
    @Test
    void aCallThatIsNotMadeDoesNotMakeTheListHoldForEver() {
        DiscoveryWatch watch = openWatch();
        watch.called(10 * SECOND);
        watch.lost(Loss.SILENT, 20 * SECOND, 23 * SECOND, 0.5);
        assertFalse(watch.isValid(20 * SECOND + TOLD));
    }

    /**
     * What happened before there were slots: those that failed together call again together, and
     * starve.
     */
    @Test
    void callersThatBackOffByThemselvesStarve() {
        int schedulers = 100;
        Fleet fleet = new Fleet(schedulers, Fleet.COST_IN_RELEASE, 0);
        Random random = new Random(5);
        Arrays.fill(fleet.toldAt, 1);
        for (int number = 0; number < 70; number++) {
            fleet.toldAt[number] = 0;
            fleet.callAt(number, 20 * SECOND + random.nextInt(400_000));
        }
        fleet.play(32 * SECOND, (number, now) -> now + 200_000 + random.nextInt(400_000));
        assertTrue(
                fleet.late(32 * SECOND) > 20,
                "of seventy are not told after 12 s: " + fleet.late(32 * SECOND));
    }
}
