package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord.State;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The allowed state transitions of a job. A new job is {@link State#QUEUED} or {@link
 * State#SCHEDULED}; a final state is never left. Immutable.
 */
public final class JobTransitions {
    private static final Map<State, Set<State>> NEXT_STATES = new EnumMap<>(State.class);

    static {
        NEXT_STATES.put(
                State.SCHEDULED, // due, killed, discarded or flushed
                EnumSet.of(State.QUEUED, State.DEAD, State.DISCARDED));
        NEXT_STATES.put(
                State.QUEUED, // reserved by a worker, or ended as a reserved job may end
                EnumSet.of(
                        State.QUEUED,
                        State.RESERVED,
                        State.RETRY,
                        State.DEAD,
                        State.SUCCESS,
                        State.REJECTED,
                        State.FAILED,
                        State.DISCARDED));
        NEXT_STATES.put(
                State.RESERVED, // acknowledged, failed, expired, retried, or returned without a run
                EnumSet.of(
                        State.QUEUED,
                        State.RESERVED,
                        State.RETRY,
                        State.DEAD,
                        State.SUCCESS,
                        State.REJECTED,
                        State.FAILED,
                        State.DISCARDED));
        NEXT_STATES.put(
                State.RETRY, // due, requeued, killed, discarded, or acknowledged late
                EnumSet.of(State.QUEUED, State.DEAD, State.SUCCESS, State.DISCARDED));
        NEXT_STATES.put(
                State.DEAD, // requeued, killed again, discarded, expired, or acknowledged late
                EnumSet.of(State.QUEUED, State.DEAD, State.SUCCESS, State.DISCARDED));
        for (State state : State.values()) {
            NEXT_STATES.putIfAbsent(state, EnumSet.noneOf(State.class));
        }
    }

    private JobTransitions() {}

    /** Whether a job may move from one state to the other. */
    public static boolean isAllowed(State from, State to) {
        return NEXT_STATES.get(from).contains(to);
    }
}
