package damsonslip.policy;

import static damsonslip.policy.SlowStartFleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.LoadReporting;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Slow start with many schedulers (rule 4): in any window of the configured length all schedulers
 * together send a worker that warms up at most N + 2 sqrt(N) + 2 requests of mean work, where N is
 * the overload factor times its present capacity. More is tolerated only if most of the work came
 * from schedulers that could not know of the start.
 */
class SlowStartFleetTest {
    /**
     * Time by which the schedulers have received run times and load reports, if there is enough
     * traffic.
     */
    private static final long START = 6 * SECOND;

    private static final long END = 16 * SECOND;
    private static final int SEEDS = 4;

    /** Fault that occurs while two workers warm up and all others are full. */
    enum Fault {
        NONE {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {}
        },
        LATE_LISTS {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.listDelaySpreadUs = 2 * SECOND;
            }
        },
        /**
         * All schedulers learn of the start just before a budget window ends, and may spend the
         * budgets of this window and the next one at once.
         */
        LIST_AT_THE_END_OF_A_WINDOW {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.minListDelayUs = windowUs - 30_000;
            }
        },
        MOST_RESTART_AT_ONCE {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.schedule(START + windowUs * 3 / 2, () -> fleet.restartSchedulers(0.7));
            }
        },
        RESTART_BEFORE_THE_LIST {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.listDelaySpreadUs = 2 * SECOND;
                fleet.schedule(START + SECOND / 2, () -> fleet.restartSchedulers(0.7));
            }
        },
        HALF_OF_THE_SCHEDULERS_REMOVED {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.schedule(START + windowUs * 3 / 2, () -> fleet.removeSchedulers(0.5));
            }
        },
        UPGRADES {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.schedule(
                        START + windowUs / 2,
                        () -> fleet.upgradeSchedulers(0.3, SECOND / 4, 3 * SECOND));
            }
        },
        REJECTIONS_AND_MIGRATIONS {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.rejectedFraction = 0.3;
                fleet.delayedFraction = 0.3;
            }
        },
        WARMING_UP_WORKER_RESTARTS {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.schedule(START + 3 * SECOND, () -> fleet.killWorker("cold0"));
                fleet.schedule(START + 7 * SECOND / 2, () -> fleet.startWorker("cold0"));
            }
        },
        BURST {
            @Override
            void inject(SlowStartFleet fleet, long windowUs) {
                fleet.schedule(START + windowUs - 30_000, () -> fleet.burst(4));
            }
        };

        abstract void inject(SlowStartFleet fleet, long windowUs);
    }

    private static SimulatedDeployment.Traffic traffic(long workUs, int slots, double share) {
        return new SimulatedDeployment.Traffic(
                new JobClass(
                        workUs,
                        2,
                        1,
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL_WORKERS,
                        5 * SECOND,
                        -1),
                workUs,
                slots,
                share);
    }

    private static Guarantees guarantees(
            double share, double slowStartS, double overloadFactor, double overloadWindowS) {
        return new Guarantees(
                16_000,
                500_000,
                10 * SECOND,
                share,
                (long) (slowStartS * SECOND),
                overloadFactor,
                (long) (overloadWindowS * SECOND));
    }

    /**
     * Returns a random deployment with at most this many job classes, whose traffic exceeds what
     * workers that warm up may receive.
     */
    static SimulatedDeployment randomDeployment(SplittableRandom random, int maxClasses) {
        int schedulers = new int[] {20, 30, 100}[random.nextInt(3)];
        Guarantees guarantees =
                guarantees(
                        0.05 + 0.45 * random.nextDouble(),
                        5 + 35 * random.nextDouble(),
                        1.5 + 4.5 * random.nextDouble(),
                        0.5 + 3.5 * random.nextDouble());
        int workerSlots = new int[] {1, 2, 4, 8}[random.nextInt(4)];
        double[] weights = random.doubles(1 + random.nextInt(maxClasses), 0.1, 1).toArray();
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        List<SimulatedDeployment.Traffic> traffic = new ArrayList<>();
        for (double weight : weights) {
            long workUs = (long) (20_000 * Math.pow(50, random.nextDouble()));
            traffic.add(
                    traffic(workUs, 1 + random.nextInt(Math.min(workerSlots, 3)), weight / sum));
        }
        LoadReporting reporting =
                random.nextBoolean() ? LoadReporting.WITH_RESPONSES : LoadReporting.BY_PROBE;
        SimulatedDeployment deployment =
                new SimulatedDeployment(
                        schedulers, schedulers, guarantees, reporting, workerSlots, traffic, 1);
        double slots = workerSlots * guarantees.slowStartShareAt(4 * SECOND);
        double allowed = guarantees.overloadFactor() * slots * SECOND / deployment.meanWork();
        double jobsPerSecond = Math.min(1_200, 6 * allowed);
        return new SimulatedDeployment(
                schedulers, schedulers, guarantees, reporting, workerSlots, traffic, jobsPerSecond);
    }

    /** Simulates two workers that start half a second apart while all others are full. */
    static List<SlowStartVerdict> simulate(
            SimulatedDeployment deployment, long seed, BiConsumer<SlowStartFleet, Long> fault) {
        SlowStartFleet fleet = new SlowStartFleet(deployment, seed).startWithWarmWorkers(4);
        fleet.schedule(START, fleet::reportWarmWorkersFull);
        fleet.schedule(START, () -> fleet.startWorker("cold0"));
        fleet.schedule(START + SECOND / 2 + 1, () -> fleet.startWorker("cold1"));
        fault.accept(fleet, deployment.guarantees().overloadWindowUs());
        return fleet.run(END).verdicts();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void keepsAllSchedulersTogetherWithinTheSlowStartBound(Fault fault) {
        int requests = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedDeployment deployment = randomDeployment(new SplittableRandom(seed), 1);
            for (SlowStartVerdict verdict : simulate(deployment, seed, fault::inject)) {
                assertFalse(
                        verdict.violatesRule(),
                        "seed " + seed + ": " + verdict + " at " + deployment);
                requests += verdict.requests();
            }
        }
        assertTrue(requests > 50 * SEEDS, "requests sent to workers that warm up: " + requests);
    }

    /**
     * Guards against budgets based on the default number of slots, which these workers do not have.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void keepsNewSchedulersWithinTheBoundOfSmallWorkers(int workerSlots) {
        SimulatedDeployment deployment =
                new SimulatedDeployment(
                        100,
                        100,
                        guarantees(0.35, 10, 4.5, 2),
                        LoadReporting.WITH_RESPONSES,
                        workerSlots,
                        List.of(traffic(50_000, 1, 1)),
                        1_000);
        for (SlowStartVerdict verdict :
                simulate(deployment, 1, Fault.MOST_RESTART_AT_ONCE::inject)) {
            assertFalse(verdict.violatesRule(), verdict.toString());
        }
    }

    /**
     * Shows that the checks above detect overload: thirty schedulers that are configured as ten
     * spend three times the budget.
     */
    @Test
    void overloadsWorkerIfSchedulersAreMiscounted() {
        SimulatedDeployment deployment =
                new SimulatedDeployment(
                        30,
                        10,
                        guarantees(0.25, 8, 3, 2),
                        LoadReporting.WITH_RESPONSES,
                        4,
                        List.of(traffic(50_000, 1, 1)),
                        1_000);
        assertTrue(
                simulate(deployment, 1, Fault.NONE::inject).stream()
                        .anyMatch(SlowStartVerdict::violatesRule));
    }
}
