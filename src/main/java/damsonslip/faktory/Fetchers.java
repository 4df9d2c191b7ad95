package damsonslip.faktory;

/** What the desk may ask about workers, without knowing their side. */
interface Fetchers {
    /** Whether this worker fetches from a queue. */
    boolean fetches(String worker, String queue);

    /** Whether a FETCH from this queue waits for a job now. */
    boolean offered(String queue);

    /** Whether this worker is there. */
    boolean present(String worker);
}
