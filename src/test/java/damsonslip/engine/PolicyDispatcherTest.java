package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.JobArrived;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyDispatcherTest {
    private final EventLoop loop = new EventLoop();
    private final List<Action> executed = new ArrayList<>();
    private final PolicyDispatcher dispatcher =
            new PolicyDispatcher(
                    new SchedulingPolicy(EngineFixtures.settings(), 1), loop, this::execute);
    private boolean isExecuting;

    private Event arrival(String id) {
        return new JobArrived(
                id, 0, 0, null, loop.nowUs() + 1_000_000, 1, 0, Integer.MAX_VALUE, null);
    }

    private void execute(Action action) {
        assertTrue(!isExecuting, "an action is executed within another one");
        isExecuting = true;
        if (executed.isEmpty()) {
            dispatcher.deliver(arrival("second"));
        }
        executed.add(action);
        isExecuting = false;
    }

    @Test
    void executesAllActionsOfAnEventBeforeTheNextOne() {
        dispatcher.deliver(arrival("first"));
        List<Boolean> isOfSecond =
                executed.stream().map(action -> action.toString().contains("second")).toList();
        assertTrue(isOfSecond.contains(false));
        assertTrue(isOfSecond.contains(true));
        assertEquals(isOfSecond.stream().sorted().toList(), isOfSecond);
    }
}
