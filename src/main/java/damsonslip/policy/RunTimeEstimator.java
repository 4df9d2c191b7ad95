package damsonslip.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run time of a job class: mean, median, and the mean at each worker.
 *
 * <p>Times are microseconds. Not safe for use by several threads.
 */
final class RunTimeEstimator {
    /**
     * Minimum weight of a job in the mean: low, as the mean of a distribution with a long tail
     * takes many jobs.
     */
    private static final double MIN_MEAN_WEIGHT = 0.003;

    /** Minimum step of the median, as a fraction of it. */
    private static final double MIN_MEDIAN_STEP = 0.02;

    /** Minimum weight of a job in a worker's mean. */
    private static final double MIN_WORKER_WEIGHT = 0.1;

    /**
     * A mean is used once it covers this many jobs; workers are compared once this many have such a
     * mean.
     */
    private static final int MIN_SAMPLES = 3;

    /**
     * Shorter run times count as this long in comparisons: network delays and pauses of the
     * machines are of that size.
     */
    private static final double NOISE_US = 5e3;

    private final Map<Worker, WorkerMean> byWorker = new HashMap<>();
    private double meanUs;
    private double medianUs;
    private int jobs;

    /** Creates an estimator that returns this value until jobs have been observed. */
    RunTimeEstimator(double initialUs) {
        this.meanUs = initialUs;
        this.medianUs = initialUs;
    }

    /** Mean run time. */
    double meanUs() {
        return meanUs;
    }

    /** Median run time. */
    double medianUs() {
        return medianUs;
    }

    /**
     * Adds a job's run time at a worker and returns its ratio to the baseline: the lower quartile
     * of the workers' means or, while too few workers have been observed, the mean of the class.
     */
    double observe(Worker worker, double runTimeUs) {
        byWorker.computeIfAbsent(worker, unseen -> new WorkerMean()).add(runTimeUs);
        double baselineUs = baselineUs(runTimeUs);
        jobs++;
        double medianStep = Math.max(MIN_MEDIAN_STEP, 1.0 / jobs);
        medianUs *= 1 + medianStep * (runTimeUs > medianUs ? 0.5 : -0.5);
        meanUs += Math.max(MIN_MEAN_WEIGHT, 1.0 / jobs) * (runTimeUs - meanUs);
        return Math.max(runTimeUs, NOISE_US) / Math.max(baselineUs, NOISE_US);
    }

    private double baselineUs(double runTimeUs) {
        double[] means =
                byWorker.values().stream()
                        .filter(mean -> mean.jobs >= MIN_SAMPLES)
                        .mapToDouble(mean -> mean.meanUs)
                        .sorted()
                        .toArray();
        if (means.length >= MIN_SAMPLES) {
            return means[means.length / 4];
        }
        return jobs >= MIN_SAMPLES ? meanUs : runTimeUs;
    }

    /** Drops the mean of a removed worker. */
    void forget(Worker worker) {
        byWorker.remove(worker);
    }

    private static final class WorkerMean {
        private int jobs;
        private double meanUs;

        private void add(double runTimeUs) {
            jobs++;
            meanUs += Math.max(MIN_WORKER_WEIGHT, 1.0 / jobs) * (runTimeUs - meanUs);
        }
    }
}
