package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.Counters.Count;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.TimerDue;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OpenRequestsTest {
    private static final long FAR_DEADLINE_US = TimeUnit.MINUTES.toMicros(10);

    private final EventLoop loop = new EventLoop();
    private final Counters counters = new Counters();
    private final List<Event> events = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();
    private final OpenRequests requests = newRequests();

    private OpenRequests newRequests() {
        Settings settings = EngineFixtures.settings();
        EventLog eventLog = new EventLog();
        EngineGuards guards =
                new EngineGuards(
                        loop, new SchedulingPolicy(settings, 1), settings, eventLog, counters);
        EngineStatistics statistics = new EngineStatistics(counters, settings.classes().size());
        RequestTrace trace = new RequestTrace(eventLog, loop);
        return new OpenRequests(loop, statistics, trace, guards, events::add);
    }

    private RequestContext submit(String id, long remainingUs) {
        Request request = EngineFixtures.request(id, loop.nowUs() + remainingUs);
        return requests.submit(request, responses::add);
    }

    @Test
    void rejectsRequestsBeyondTheLimitWithoutConsultingThePolicy() {
        for (int i = 0; i < SchedulerEngine.MAX_OPEN_REQUESTS; i++) {
            submit("q" + i, FAR_DEADLINE_US);
        }
        assertEquals(SchedulerEngine.MAX_OPEN_REQUESTS, events.size());
        assertEquals(List.of(), responses);
        submit("one-too-many", FAR_DEADLINE_US);
        assertEquals(SchedulerEngine.MAX_OPEN_REQUESTS, events.size());
        assertEquals(List.of(Response.throttled(Response.NO_RETRY_AFTER)), responses);
        assertEquals(SchedulerEngine.MAX_OPEN_REQUESTS, requests.openCount());
        assertFalse(requests.contains("one-too-many"));
    }

    @Test
    void removesARequestOnceItIsAnswered() {
        submit("q", FAR_DEADLINE_US);
        assertTrue(requests.contains("q"));
        requests.answer("q", Response.throttled(5));
        requests.answer("q", Response.throttled(6));
        assertEquals(List.of(Response.throttled(5)), responses);
        assertFalse(requests.contains("q"));
        assertEquals(0, requests.openCount());
        assertEquals(1, counters.get(Count.ANSWERS_THROTTLED));
    }

    @Test
    void distinguishesFailuresAtTheDeadlineFromOthers() {
        submit("early", FAR_DEADLINE_US);
        submit("late", 0);
        requests.fail("early");
        requests.fail("late");
        assertEquals(List.of(Response.failed(false), Response.failed(true)), responses);
    }

    @Test
    void reportsADisconnectOnce() {
        RequestContext context = submit("q", FAR_DEADLINE_US);
        assertTrue(requests.abandon(context));
        assertFalse(requests.abandon(context));
        assertEquals(new ClientDisconnected("q"), events.get(1));
        assertEquals(2, events.size());
        assertEquals(1, counters.get(Count.QUERIES_GONE));
    }

    @Test
    void answersAllOpenRequestsThroughThePolicy() {
        submit("q", FAR_DEADLINE_US);
        RequestContext abandoned = submit("r", FAR_DEADLINE_US);
        requests.abandon(abandoned);
        events.clear();
        requests.answerAllOpen();
        assertEquals(List.of(new TimerDue(SchedulingPolicy.deadlineTimerLabel("q"))), events);
    }
}
