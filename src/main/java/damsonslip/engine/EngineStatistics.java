package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.policy.api.AttemptOutcome;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts requests, attempts and responses in the process-wide {@link Counters}, and final responses
 * also by class and kind.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class EngineStatistics {
    private final Counters counters;
    private final int classCount;

    /** The number of responses of each kind, indexed by class. */
    private final Map<Response.Kind, long[]> responses = new EnumMap<>(Response.Kind.class);

    EngineStatistics(Counters counters, int classCount) {
        this.counters = counters;
        this.classCount = classCount;
        for (Response.Kind kind : Response.Kind.values()) {
            responses.put(kind, new long[classCount]);
        }
    }

    int classCount() {
        return classCount;
    }

    void count(Count count) {
        counters.add(count);
    }

    void countResponse(int jobClass, Response.Kind kind) {
        responses.get(kind)[jobClass]++;
        counters.add(
                switch (kind) {
                    case SERVED -> Count.ANSWERS_SERVED;
                    case THROTTLED -> Count.ANSWERS_THROTTLED;
                    case FAILED -> Count.ANSWERS_FAILED;
                });
    }

    long responseCount(int jobClass, Response.Kind kind) {
        return responses.get(kind)[jobClass];
    }

    void countAttemptEnd(AttemptOutcome outcome) {
        counters.add(
                switch (outcome) {
                    case SERVED -> Count.EXECUTIONS_SERVED;
                    case ERROR -> Count.EXECUTIONS_ERROR;
                    case FULL -> Count.EXECUTIONS_FULL;
                    case TIMED_OUT -> Count.EXECUTIONS_TIMED_OUT;
                    case NOT_CONNECTED -> Count.EXECUTIONS_NOT_CONNECTED;
                    case RESET -> Count.EXECUTIONS_RESET;
                    case CANCELLED -> Count.EXECUTIONS_CANCELLED;
                    case NEVER_SENT -> Count.EXECUTIONS_NEVER_SENT;
                });
    }
}
