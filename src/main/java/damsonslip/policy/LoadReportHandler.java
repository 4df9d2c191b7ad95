package damsonslip.policy;

import damsonslip.policy.api.LoadReport;

/** Passes load reports to the estimators and detectors that learn from them. */
final class LoadReportHandler {
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;

    LoadReportHandler(CapacityEstimator capacity, OutlierDetector outliers) {
        this.capacity = capacity;
        this.outliers = outliers;
    }

    /**
     * Handles a worker's report; one that is null or lacks the free slots is ignored.
     *
     * @param probed whether it came with the answer to a probe, so that it is current
     */
    void accept(Worker worker, LoadReport report, boolean probed) {
        if (report == null || Double.isNaN(report.freeSlots())) {
            return;
        }
        capacity.acceptReport(worker, report, probed);
        outliers.acceptReport(worker, report);
    }
}
