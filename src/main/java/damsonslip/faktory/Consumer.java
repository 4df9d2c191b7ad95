package damsonslip.faktory;

import damsonslip.Dispatch.Status;
import damsonslip.Dispatch.Worker;
import damsonslip.core.Execution;
import damsonslip.core.Loop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker process: its connections, the slots that it offers by fetching, and what it has in hand. */
final class Consumer {
    /** A FETCH that waits for a job. */
    record Offer(FaktoryLink link, List<String> queues, Loop.Timer timeout, long sinceUs) { }

    /** Names of queues remembered for one worker: one that makes names up must not fill the memory. */
    private static final int MOST_QUEUES = 1_000;

    final String wid;
    final String process;
    final int zone;
    final int kind;
    final Set<FaktoryLink> links = new HashSet<>();
    final ArrayDeque<Offer> offers = new ArrayDeque<>();
    /** Executions that the module has placed here and that no FETCH has come for yet. */
    final List<Execution> expected = new ArrayList<>();
    Status status = Status.RUNNING;
    long startedUs;
    long beatUs;
    /** Slots of the jobs that it has in hand, or that are on their way to it. */
    int inHand;
    private int slots;
    /** What it says of its memory, in KiB; 0 if it does not. */
    long rssKb;
    /** When it last fetched from each queue. */
    private final Map<String, Long> fetched = new HashMap<>();
    /** What an operator asks of it, told with its next beat; or empty. */
    String asked = "";

    Consumer(String wid, String process, int zone, int kind, long startedUs) {
        this.wid = wid;
        this.process = process;
        this.zone = zone;
        this.kind = kind;
        this.startedUs = startedUs;
    }

    boolean runs() {
        return status == Status.RUNNING;
    }

    /** Its slots: those that it offers and those that it uses; one that is between two fetches is remembered. */
    int slots() {
        slots = Math.max(slots, offers.size() + inHand);
        return slots;
    }

    /** Forgets slots that it has not shown for a while, one at a time. */
    void forgetSlot() {
        slots = Math.max(offers.size() + inHand, slots - 1);
    }

    void fetched(List<String> queues, long nowUs) {
        queues.forEach(queue -> fetched.put(queue, nowUs));
        if (fetched.size() > MOST_QUEUES) {
            fetched.values().removeIf(at -> at < nowUs);
        }
    }

    /** Whether it has fetched from this queue since then. */
    boolean fetches(String queue, long sinceUs) {
        return fetched.getOrDefault(queue, Long.MIN_VALUE) >= sinceUs || offers(queue);
    }

    /** Whether a FETCH from this queue waits. */
    boolean offers(String queue) {
        for (Offer offer : offers) {
            if (offer.queues().contains(queue) && !offer.link().isClosed()) {
                return true;
            }
        }
        return false;
    }

    /** The first waiting FETCH that takes from this queue, no longer waiting; or null. */
    Offer takeOffer(String queue) {
        for (Offer offer : offers) {
            if (offer.queues().contains(queue) && !offer.link().isClosed()) {
                offers.remove(offer);
                offer.timeout().cancel();
                return offer;
            }
        }
        return null;
    }

    Worker entry() {
        return new Worker(wid, zone, 0, kind, status, startedUs);
    }
}
