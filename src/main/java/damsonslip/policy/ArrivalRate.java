package damsonslip.policy;

/** Measures the arrival rate of a job class. */
final class ArrivalRate {
    private int arrivals;
    private double perSecond;
    private double ownPerSecond;

    /** Counts a job. */
    void countArrival() {
        arrivals++;
    }

    /** Updates the rates by the arrivals counted in an interval. */
    void measure(MeasurementInterval interval, int schedulers) {
        double seconds = interval.seconds();
        perSecond += interval.weight() * (arrivals * schedulers / seconds - perSecond);
        ownPerSecond += interval.steadyWeight() * (arrivals / seconds - ownPerSecond);
        arrivals = 0;
    }

    /** Jobs a second at all schedulers, assuming that each receives as many as this one. */
    double perSecond() {
        return perSecond;
    }

    /** Jobs a second at this scheduler, averaged over a longer time. */
    double ownPerSecond() {
        return ownPerSecond;
    }
}
