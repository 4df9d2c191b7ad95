package damsonslip.faktory.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.store.JobRecord.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The table of a job's state transitions. */
class JobTransitionsTest {
    @ParameterizedTest
    @EnumSource(State.class)
    void leavesNoFinalState(State from) {
        for (State to : State.values()) {
            if (from.isFinal()) {
                assertFalse(JobTransitions.isAllowed(from, to), from + " to " + to);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(State.class)
    void leavesEachOpenStateForItsQueueAndByDiscarding(State from) {
        assertEquals(!from.isFinal(), JobTransitions.isAllowed(from, State.QUEUED));
        assertEquals(!from.isFinal(), JobTransitions.isAllowed(from, State.DISCARDED));
    }

    @Test
    void reservesOnlyFromTheQueueOrAgain() {
        assertTrue(JobTransitions.isAllowed(State.QUEUED, State.RESERVED));
        assertTrue(JobTransitions.isAllowed(State.RESERVED, State.RESERVED));
        assertFalse(JobTransitions.isAllowed(State.SCHEDULED, State.RESERVED));
        assertFalse(JobTransitions.isAllowed(State.RETRY, State.RESERVED));
        assertFalse(JobTransitions.isAllowed(State.DEAD, State.RESERVED));
    }

    @Test
    void acceptsLateSuccessOfRetriesAndDeadJobs() {
        assertTrue(JobTransitions.isAllowed(State.RETRY, State.SUCCESS));
        assertTrue(JobTransitions.isAllowed(State.DEAD, State.SUCCESS));
        assertFalse(JobTransitions.isAllowed(State.SCHEDULED, State.SUCCESS));
    }
}
