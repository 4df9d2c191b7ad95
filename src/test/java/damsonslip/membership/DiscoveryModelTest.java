package damsonslip.membership;

import static damsonslip.membership.DiscoveryModel.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Simulates random faults of schedulers and discovery: no list is used after the drain grace of a
 * change that it lacks.
 */
class DiscoveryModelTest {
    private static final int SEEDS = 400;
    private static final long END = 90 * SECOND;
    private static final int MAX_SCHEDULERS = 120;
    private static final int DRAINS = 12;

    /**
     * Largest cost of a poll; in large fleets the total cost of one poll by each scheduler lies in
     * the range below.
     */
    private static final long MAX_POLL_COST = 300_000;

    private static final double MIN_FLEET_COST_S = 4.5;
    private static final double MAX_FLEET_COST_S = 7;

    /** Outages of up to 40 s, kills and drains around their end, and watches that become silent. */
    @Test
    void neverUsesListPastGraceOfMissedChange() {
        for (int seed = 0; seed < SEEDS; seed++) {
            List<String> violations = run(new Random(seed));
            assertEquals(List.of(), violations.stream().limit(1).toList(), "seed " + seed);
        }
    }

    private static List<String> run(Random random) {
        int size = 1 + random.nextInt(MAX_SCHEDULERS);
        long cost =
                Math.min(MAX_POLL_COST, between(random, MIN_FLEET_COST_S, MAX_FLEET_COST_S) / size);
        long pollTimeout = random.nextBoolean() ? 2 * SECOND : 3 * SECOND;
        DiscoveryModel model = new DiscoveryModel(size, cost, pollTimeout, random);
        long outageStart = between(random, 0, 15);
        long recovery = outageStart + between(random, 1, 40);
        model.addOutage(outageStart, recovery);
        for (int kills = random.nextInt(3); kills > 0; kills--) {
            model.kill(Math.max(0, recovery + between(random, -8, 8)), random.nextDouble());
        }
        if (random.nextBoolean()) {
            model.silenceWatches(between(random, 0, 60), random.nextDouble());
        }
        long releaseStart = Math.max(0, recovery + between(random, -10, 10));
        for (int i = 0; i < DRAINS; i++) {
            model.startDrain(releaseStart + between(random, 0, 12));
        }
        return model.run(END);
    }

    private static long between(Random random, double minS, double maxS) {
        return (long) ((minS + (maxS - minS) * random.nextDouble()) * SECOND);
    }
}
