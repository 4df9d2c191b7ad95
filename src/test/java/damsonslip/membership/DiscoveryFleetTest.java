package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.Random;
import java.util.function.LongBinaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A fleet of schedulers before a discovery that serves polls one after another. */
class DiscoveryFleetTest {
    private static final long SECOND = 1_000_000;
    private static final long POLL_INTERVAL = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /** From a change until no list without it may be used: 6 s, and the grace less its margin. */
    private static final long LEASE = 6 * SECOND + GRACE - 150_000;

    private static LongBinaryOperator retryInSlots(DiscoveryWatch[] watches) {
        Random random = new Random(3);
        return (number, now) ->
                watches[(int) number].failed(Failure.FAILED, now, now, random.nextDouble());
    }

    private static DiscoveryWatch[] watches(int schedulers) {
        DiscoveryWatch[] watches = new DiscoveryWatch[schedulers];
        for (int number = 0; number < schedulers; number++) {
            watches[number] = new DiscoveryWatch(schedulers, number, POLL_INTERVAL, GRACE);
        }
        return watches;
    }

    /** Opens all watches, and resets them then. */
    private static void loseAll(
            DiscoveryWatch[] watches, SerialDiscovery discovery, long at, Random random) {
        for (int number = 0; number < watches.length; number++) {
            DiscoveryWatch watch = watches[number];
            watch.pollSent(watch.start(0, 0.5));
            watch.updateReceived();
            discovery.pollAt(number, watch.failed(Failure.FAILED, at, at, random.nextDouble()));
        }
    }

    /** All watches are reset at once and discovery is down for 8 s. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 120})
    void reconnectsWholeFleetBeforeChangeAtReturnCounts(int schedulers) {
        DiscoveryWatch[] watches = watches(schedulers);
        SerialDiscovery discovery =
                new SerialDiscovery(watches, SerialDiscovery.COST_AFTER_OUTAGE, 18 * SECOND);
        Random random = new Random(5);
        loseAll(watches, discovery, 10 * SECOND, random);
        discovery.run(60 * SECOND, retryInSlots(watches));
        assertEquals(0, discovery.countNotConnectedBy(18 * SECOND + LEASE));
        assertTrue(
                discovery.maxPollsPerSecond() <= schedulers / 4 + 3,
                "polls in a second: " + discovery.maxPollsPerSecond());
    }

    /** Seven in ten restart at once, more than can be served in time. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 120})
    void expiresKeptListsOfRestartedFleetAndReconnectsAll(int schedulers) {
        DiscoveryWatch[] watches = watches(schedulers);
        SerialDiscovery discovery =
                new SerialDiscovery(watches, SerialDiscovery.COST_DURING_RELEASE, 0);
        int restarted = schedulers * 7 / 10;
        discovery.connectFrom(restarted);
        long last = 0;
        for (int number = 0; number < restarted; number++) {
            last = 20 * SECOND + number * 1_000L;
            discovery.pollAt(number, watches[number].start(last, 0.5));
        }
        long counts = last + LEASE;
        Random random = new Random(3);
        discovery.run(
                60 * SECOND,
                (number, now) -> {
                    DiscoveryWatch watch = watches[(int) number];
                    long next = watch.failed(Failure.FAILED, now, now, random.nextDouble());
                    assertFalse(
                            watch.isValid(counts),
                            number + " uses its list after a failure at " + now);
                    return next;
                });
        assertEquals(0, discovery.countNotConnectedBy(20 * SECOND + 15 * SECOND));
    }

    /**
     * After the return from a long outage the whole fleet polls, and not all are served in time.
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
    void doesNotMistakeRecoveryForLastingOutage(int schedulers, long costOfAll) {
        for (long outage = 8 * SECOND; outage <= 60 * SECOND; outage += SECOND / 2) {
            long returns = 10 * SECOND + outage;
            DiscoveryWatch[] watches = watches(schedulers);
            SerialDiscovery discovery = new SerialDiscovery(watches, costOfAll, returns);
            Random random = new Random(5);
            loseAll(watches, discovery, 10 * SECOND, random);
            discovery.run(
                    returns + 60 * SECOND,
                    (number, now) -> {
                        DiscoveryWatch watch = watches[(int) number];
                        long next = watch.failed(Failure.FAILED, now, now, random.nextDouble());
                        boolean valid = watch.isValid(Math.max(now, returns + LEASE));
                        assertFalse(
                                valid,
                                number
                                        + " uses its list after a failure at "
                                        + now
                                        + ", return at "
                                        + returns);
                        return next;
                    });
        }
    }

    private static boolean survives(long number) {
        return number % 10 < 3;
    }

    /**
     * An outage of 8 s begins during the fleet's first polls, or under its open watches, and seven
     * in ten restart after it. The survivors' polls that time out then do not extend their lists,
     * since changes made during the outage count by then.
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
    void doesNotMistakeRestartedFleetForOutage(int schedulers, boolean duringFirstPolls) {
        long down = 2_800_000;
        long returns = down + 8 * SECOND;
        DiscoveryWatch[] watches = watches(schedulers);
        SerialDiscovery discovery =
                new SerialDiscovery(
                        watches,
                        Math.min(SerialDiscovery.COST_DURING_RELEASE, 300_000L * schedulers),
                        returns);
        Random random = new Random(5);
        for (int number = 0; number < schedulers; number++) {
            boolean survives = survives(number);
            long first =
                    watches[number].start(survives ? 0 : returns + 3_400_000, random.nextDouble());
            if (survives && !duringFirstPolls) {
                watches[number].pollSent(first);
                watches[number].updateReceived();
                first = watches[number].failed(Failure.FAILED, down, down, random.nextDouble());
            }
            discovery.pollAt(number, first);
        }
        discovery.run(
                60 * SECOND,
                (number, now) -> {
                    DiscoveryWatch watch = watches[(int) number];
                    long next = watch.failed(Failure.FAILED, now, now, random.nextDouble());
                    boolean valid =
                            survives(number) && watch.isValid(Math.max(now, returns + LEASE));
                    assertFalse(valid, number + " uses its list after a failure at " + now);
                    return next;
                });
        assertEquals(0, discovery.countNotConnectedBy(60 * SECOND));
    }

    /** Shows why slots are needed: schedulers that failed together retry together, and starve. */
    @Test
    void starvesFleetThatBacksOffWithoutSlots() {
        int schedulers = 100;
        SerialDiscovery discovery =
                new SerialDiscovery(watches(schedulers), SerialDiscovery.COST_DURING_RELEASE, 0);
        Random random = new Random(5);
        int failedTogether = 70;
        discovery.connectFrom(failedTogether);
        for (int number = 0; number < failedTogether; number++) {
            discovery.pollAt(number, 20 * SECOND + random.nextInt(400_000));
        }
        discovery.run(32 * SECOND, (number, now) -> now + 200_000 + random.nextInt(400_000));
        int starved = discovery.countNotConnectedBy(32 * SECOND);
        assertTrue(starved > 20, "of seventy are not connected after 12 s: " + starved);
    }
}
