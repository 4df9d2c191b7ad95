package damsonslip.membership;

import static damsonslip.membership.DiscoveryModel.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Drawn troubles of a fleet and its discovery: no list is used once a change that it lacks has
 * counted for the grace.
 */
class DiscoveryModelTest {
    private static final int SEEDS = 400;
    private static final long END = 90 * SECOND;
    private static final int LARGEST = 120;
    private static final int DRAINS = 12;

    /** What a call costs in a small fleet, and all calls of a large one together; measured. */
    private static final long MOST_CALL_COST = 300_000;

    private static final double LEAST_FLEET_COST_S = 4.5;
    private static final double MOST_FLEET_COST_S = 7;

    /** Outages of up to 40 s, kills and drains about their end, and watches that fall silent. */
    @Test
    void noListIsUsedPastWhatItLacks() {
        for (int seed = 0; seed < SEEDS; seed++) {
            List<String> broken = play(new Random(seed));
            assertEquals(List.of(), broken.stream().limit(1).toList(), "seed " + seed);
        }
    }

    private static List<String> play(Random random) {
        int size = 1 + random.nextInt(LARGEST);
        long cost =
                Math.min(
                        MOST_CALL_COST,
                        between(random, LEAST_FLEET_COST_S, MOST_FLEET_COST_S) / size);
        long mostWait = random.nextBoolean() ? 2 * SECOND : 3 * SECOND;
        DiscoveryModel model = new DiscoveryModel(size, cost, mostWait, random);
        long down = between(random, 0, 15);
        long until = down + between(random, 1, 40);
        model.outage(down, until);
        for (int kills = random.nextInt(3); kills > 0; kills--) {
            model.kill(Math.max(0, until + between(random, -8, 8)), random.nextDouble());
        }
        if (random.nextBoolean()) {
            model.silence(between(random, 0, 60), random.nextDouble());
        }
        long release = Math.max(0, until + between(random, -10, 10));
        for (int i = 0; i < DRAINS; i++) {
            model.change(release + between(random, 0, 12));
        }
        return model.play(END);
    }

    private static long between(Random random, double leastS, double mostS) {
        return (long) ((leastS + (mostS - leastS) * random.nextDouble()) * SECOND);
    }
}
