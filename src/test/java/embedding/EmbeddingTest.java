package embedding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.Rules;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.Effect;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Group;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.ListMode;
import damsonslip.policy.api.ListUpdate;
import damsonslip.policy.api.Outcome;
import damsonslip.policy.api.Report;
import damsonslip.policy.api.Reporting;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.Status;
import damsonslip.policy.api.Worker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The library as another program uses it, through its public interface alone. */
class EmbeddingTest {
    private static final Settings SETTINGS =
            new Settings(
                    1,
                    0,
                    0,
                    1,
                    1,
                    List.of(new JobClass(200_000, 2, 1, Effect.SAFE, Group.ALL, 0, -1)),
                    List.of(),
                    new Limits(3, true, false, 0, 0.1),
                    new Guarantees(10_000, 500_000, 0, 0.3, 8_000_000, 3, 2_000_000),
                    Reporting.WITH_ANSWERS,
                    false,
                    false,
                    1_000);

    private static List<Send> sends(Rules rules, long now, Event event) {
        List<Action> actions = new ArrayList<>();
        rules.handle(now, event, actions);
        return actions.stream().filter(Send.class::isInstance).map(Send.class::cast).toList();
    }

    private static ListUpdate list(ListMode mode, String id, Status status) {
        return new ListUpdate(mode, List.of(new Worker(id, 0, 0, 0, status, Long.MIN_VALUE)));
    }

    @Test
    void aJobFromArrivalToAnswerADrainAndARestart() {
        Rules rules = new Rules(SETTINGS, 42);
        assertTrue(sends(rules, 0, list(ListMode.KEPT, "a", Status.RUNNING)).isEmpty());
        sends(rules, 1_000, list(ListMode.CHANGES, "b", Status.RUNNING));
        List<Send> sent = sends(rules, 2_000, new JobArrived("job-1", 0, 0, null, 5_000_000, 1, 0));
        assertEquals("job-1", sent.get(0).job());
        Report report = new Report(4, Double.NaN, Double.NaN);
        sends(rules, 90_000, new AttemptEnded("job-1", 0, Outcome.SERVED, true, report));

        sends(rules, 100_000, list(ListMode.CHANGES, "a", Status.DRAINING));
        sent = sends(rules, 110_000, new JobArrived("job-2", 0, 0, null, 5_000_000, 1, 0));
        assertEquals("b", sent.get(0).worker());

        Rules restarted = new Rules(SETTINGS, 43);
        sends(restarted, 200_000, list(ListMode.KEPT, "b", Status.RUNNING));
        sent = sends(restarted, 210_000, new JobArrived("job-3", 0, 0, null, 5_000_000, 1, 0));
        assertEquals("b", sent.get(0).worker());
    }
}
