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

/** A fleet of schedulers that share a discovery service, which serves polls one after another. */
class DiscoveryFleetTest {
    private static final long SECOND = 1_000_000;
    private static final long POLL_INTERVAL = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /**
     * Time from a change until lists without it expire: 6 s, plus the grace less the send margin.
     */
    private static final long LEASE = 6 * SECOND + GRACE - 150_000;

    private static LongBinaryOperator retryInSlots(DiscoveryWatch[] watches) {
        Random random = new Random(3);
        return (index, now) ->
                watches[(int) index].failed(Failure.FAILED, now, now, random.nextDouble());
    }

    private static DiscoveryWatch[] watches(int schedulers) {
        DiscoveryWatch[] watches = new DiscoveryWatch[schedulers];
        for (int index = 0; index < schedulers; index++) {
            watches[index] = new DiscoveryWatch(schedulers, index, POLL_INTERVAL, GRACE);
        }
        return watches;
    }

    /** Opens all watches and resets them at the given time. */
    private static void resetAllWatches(
            DiscoveryWatch[] watches, SerialDiscovery discovery, long at, Random random) {
        for (int index = 0; index < watches.length; index++) {
            DiscoveryWatch watch = watches[index];
            watch.pollSent(watch.start(0, 0.5));
            watch.updateReceived();
            discovery.pollAt(index, watch.failed(Failure.FAILED, at, at, random.nextDouble()));
        }
    }

    /** All watches are reset at once and discovery is down for 8 s. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 120})
    void reconnectsFleetBeforeChangeAtRecoveryCountsAsKnown(int schedulers) {
        DiscoveryWatch[] watches = watches(schedulers);
        SerialDiscovery discovery =
                new SerialDiscovery(watches, SerialDiscovery.COST_AFTER_OUTAGE, 18 * SECOND);
        Random random = new Random(5);
        resetAllWatches(watches, discovery, 10 * SECOND, random);
        discovery.run(60 * SECOND, retryInSlots(watches));
        assertEquals(0, discovery.countNotConnectedBy(18 * SECOND + LEASE));
        assertTrue(
                discovery.maxPollsPerSecond() <= schedulers / 4 + 3,
                "polls in a second: " + discovery.maxPollsPerSecond());
    }

    /** Seven in ten schedulers restart at once, more than discovery can serve in time. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 120})
    void expiresCachedListsOfRestartedFleetAndReconnectsAll(int schedulers) {
        DiscoveryWatch[] watches = watches(schedulers);
        SerialDiscovery discovery =
                new SerialDiscovery(watches, SerialDiscovery.COST_DURING_RELEASE, 0);
        int restarted = schedulers * 7 / 10;
        discovery.connectFrom(restarted);
        long last = 0;
        for (int index = 0; index < restarted; index++) {
            last = 20 * SECOND + index * 1_000L;
            discovery.pollAt(index, watches[index].start(last, 0.5));
        }
        long knownAt = last + LEASE;
        Random random = new Random(3);
        discovery.run(
                60 * SECOND,
                (index, now) -> {
                    DiscoveryWatch watch = watches[(int) index];
                    long next = watch.failed(Failure.FAILED, now, now, random.nextDouble());
                    assertFalse(
                            watch.isValid(knownAt),
                            index + " uses its list after a failure at " + now);
                    return next;
                });
        assertEquals(0, discovery.countNotConnectedBy(20 * SECOND + 15 * SECOND));
    }

    /**
     * When discovery recovers from a long outage, the whole fleet polls, and not all polls are
     * served in time.
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
    void doesNotMistakeRecoveryForLastingOutage(int schedulers, long fleetCost) {
        for (long outage = 8 * SECOND; outage <= 60 * SECOND; outage += SECOND / 2) {
            long recoversAt = 10 * SECOND + outage;
            DiscoveryWatch[] watches = watches(schedulers);
            SerialDiscovery discovery = new SerialDiscovery(watches, fleetCost, recoversAt);
            Random random = new Random(5);
            resetAllWatches(watches, discovery, 10 * SECOND, random);
            discovery.run(
                    recoversAt + 60 * SECOND,
                    (index, now) -> {
                        DiscoveryWatch watch = watches[(int) index];
                        long next = watch.failed(Failure.FAILED, now, now, random.nextDouble());
                        boolean valid = watch.isValid(Math.max(now, recoversAt + LEASE));
                        assertFalse(
                                valid,
                                index
                                        + " uses its list after a failure at "
                                        + now
                                        + ", recovery at "
                                        + recoversAt);
                        return next;
                    });
        }
    }

    private static boolean survives(long index) {
        return index % 10 < 3;
    }

    /**
     * An outage of 8 s begins during the fleet's first polls or while all watches are open, and
     * seven in ten schedulers restart after it. Polls of the others that time out then must not
     * extend the lease of their lists, since changes made during the outage count as known by then.
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
        long downFrom = 2_800_000;
        long recoversAt = downFrom + 8 * SECOND;
        DiscoveryWatch[] watches = watches(schedulers);
        SerialDiscovery discovery =
                new SerialDiscovery(
                        watches,
                        Math.min(SerialDiscovery.COST_DURING_RELEASE, 300_000L * schedulers),
                        recoversAt);
        Random random = new Random(5);
        for (int index = 0; index < schedulers; index++) {
            boolean survives = survives(index);
            long first =
                    watches[index].start(
                            survives ? 0 : recoversAt + 3_400_000, random.nextDouble());
            if (survives && !duringFirstPolls) {
                watches[index].pollSent(first);
                watches[index].updateReceived();
                first =
                        watches[index].failed(
                                Failure.FAILED, downFrom, downFrom, random.nextDouble());
            }
            discovery.pollAt(index, first);
        }
        discovery.run(
                60 * SECOND,
                (index, now) -> {
                    DiscoveryWatch watch = watches[(int) index];
                    long next = watch.failed(Failure.FAILED, now, now, random.nextDouble());
                    boolean valid =
                            survives(index) && watch.isValid(Math.max(now, recoversAt + LEASE));
                    assertFalse(valid, index + " uses its list after a failure at " + now);
                    return next;
                });
        assertEquals(0, discovery.countNotConnectedBy(60 * SECOND));
    }

    /**
     * Shows why time slots are needed: schedulers whose polls fail together retry together and are
     * not served.
     */
    @Test
    void starvesFleetThatBacksOffWithoutSlots() {
        int schedulers = 100;
        SerialDiscovery discovery =
                new SerialDiscovery(watches(schedulers), SerialDiscovery.COST_DURING_RELEASE, 0);
        Random random = new Random(5);
        int failedTogether = 70;
        discovery.connectFrom(failedTogether);
        for (int index = 0; index < failedTogether; index++) {
            discovery.pollAt(index, 20 * SECOND + random.nextInt(400_000));
        }
        discovery.run(32 * SECOND, (index, now) -> now + 200_000 + random.nextInt(400_000));
        int starved = discovery.countNotConnectedBy(32 * SECOND);
        assertTrue(starved > 20, "of 70 schedulers not connected after 12 s: " + starved);
    }
}
