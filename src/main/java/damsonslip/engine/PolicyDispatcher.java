package damsonslip.engine;

import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.Event;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Delivers events to the scheduling policy one at a time and passes the resulting actions to an
 * executor.
 *
 * <p>Executing an action may cause another event. That event is queued until all actions of the
 * current one are executed, so the policy receives events in order and is never re-entered.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class PolicyDispatcher {
    private final SchedulingPolicy policy;
    private final EventLoop loop;
    private final Consumer<Action> executor;
    private final ArrayDeque<Event> pending = new ArrayDeque<>();
    private boolean isDelivering;

    PolicyDispatcher(SchedulingPolicy policy, EventLoop loop, Consumer<Action> executor) {
        this.policy = policy;
        this.loop = loop;
        this.executor = executor;
    }

    /** Delivers an event, or queues it if this is called while another one is being delivered. */
    void deliver(Event event) {
        pending.add(event);
        if (isDelivering) {
            return;
        }
        isDelivering = true;
        try {
            deliverPending();
        } finally {
            isDelivering = false;
        }
    }

    private void deliverPending() {
        List<Action> actions = new ArrayList<>();
        for (Event event = pending.poll(); event != null; event = pending.poll()) {
            actions.clear();
            policy.handle(loop.nowUs(), event, actions);
            actions.forEach(executor);
        }
    }
}
