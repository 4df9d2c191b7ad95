package damsonslip.tools.fleetreport;

/**
 * Why a request did not earn its priority weight. Each lost request counts under one reason, the
 * first that applies. The texts are printed in the report.
 */
public enum Loss {
    SCHEDULER_ENDED("its scheduler ended with it open, and began anew"),
    OPEN_AT_END("still open where its scheduler's log ends"),
    STALE_LIST("sent to a worker that some list had told as leaving"),
    AFTER_ERROR("given up after an execution that ended in error"),
    AFTER_LINK("given up after an execution whose link broke or never came up"),
    AFTER_TIME("given up after an execution that got no answer in time"),
    REFUSED_BESIDE_ROOM("turned away at once while warm workers had free slots"),
    REFUSED("turned away at once while warm workers had none"),
    GIVEN_UP_BESIDE_ROOM("given up from hold while warm workers had free slots"),
    GIVEN_UP("given up from hold while warm workers had none"),
    LATE_AFTER_MORE("served late, after an earlier execution had failed"),
    LATE_COLD("served late by a cold worker"),
    LATE_HOLD("served late, most of the excess spent in hold"),
    LATE_QUEUE("served late, most of the excess spent in its worker's queue"),
    LATE_WORKER("served late by a worker that takes over twice its class's usual time"),
    LATE_LONG("served late by a usual worker: a long job");

    private final String text;

    Loss(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
