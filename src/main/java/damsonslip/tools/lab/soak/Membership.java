package damsonslip.tools.lab.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The endpoint list of workers that discovery serves, with the history of its changes. Thread-safe.
 */
final class Membership {
    /** State of a worker in the list. */
    enum Lifecycle {
        READY,
        DRAINING,
        GONE
    }

    /** An entry of the list. */
    record Entry(String id, int port, String zone, Lifecycle lifecycle, long startedMs) {
        String json() {
            return "{\"instanceId\":\""
                    + id
                    + "\",\"hostPort\":\"127.0.0.1:"
                    + port
                    + "\",\"zone\":\""
                    + zone
                    + "\",\"machineType\":\"k\",\"cell\":0,\"lifecycle\":\""
                    + lifecycle.name().toLowerCase(Locale.ROOT)
                    + "\",\"weight\":1.0,\"startedAtMs\":"
                    + startedMs
                    + "}";
        }
    }

    /** A change and the time at which it was made. */
    record Change(int generation, Entry entry, long atUs) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private int generation = 1;

    synchronized void put(Entry entry) {
        entries.put(entry.id(), entry);
        changes.add(new Change(++generation, entry, Clock.nowUs()));
        notifyAll();
    }

    synchronized int generation() {
        return generation;
    }

    /** The changes after this generation, in order. */
    synchronized List<Change> after(int since) {
        return changes.stream().filter(change -> change.generation() > since).toList();
    }

    /** Waits for a newer generation, at most for this time. */
    synchronized void await(int since, long us) throws InterruptedException {
        if (generation <= since) {
            wait(Math.max(1, us / Clock.MILLISECOND));
        }
    }

    /** The complete list as JSON of the discovery protocol. */
    synchronized String snapshot() {
        return json(
                generation,
                true,
                entries.values().stream().filter(e -> e.lifecycle() != Lifecycle.GONE).toList());
    }

    /**
     * These changes as JSON of the discovery protocol, with the current generation if there are
     * none.
     */
    synchronized String update(List<Change> delta) {
        int newest = delta.isEmpty() ? generation : delta.get(delta.size() - 1).generation();
        return json(newest, false, delta.stream().map(Change::entry).toList());
    }

    private static String json(int generation, boolean reset, List<Entry> entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + reset
                + ",\"instances\":["
                + String.join(",", entries.stream().map(Entry::json).toList())
                + "]}";
    }
}
