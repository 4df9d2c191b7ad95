package damsonslip.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run time of a job class: mean, median, and the mean at each worker.
 *
 * <p>Times are microseconds. Not safe for use by several threads.
 */
final class RunTimeEstimator {
    /** Least weight of a job in the mean; long tails need many jobs. */
    private static final double MIN_MEAN_WEIGHT = 0.003;

    /** Least step of the median, as a part of it. */
    private static final double MIN_MEDIAN_STEP = 0.02;

    /** Least weight of a job in a worker's mean. */
    private static final double MIN_WORKER_WEIGHT = 0.1;

    /** A mean counts once it has this many jobs, and a comparison once it has as many workers. */
    private static final int MIN_SAMPLES = 3;

    /** Shorter run times are not compared: network and machine pauses take as long. */
    private static final double NOISE_US = 5e3;

    private final Map<Worker, WorkerMean> byWorker = new HashMap<>();
    private double meanUs;
    private double medianUs;
    private int jobs;

    /** Creates an estimator that returns this figure until it has seen jobs. */
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
     * Adds a job's run time at a worker and returns how many times the usual it is. Usual is the
     * lower quartile of the workers' means; with few workers seen, the mean of the class.
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

    /** Drops the mean of a worker that is gone. */
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
