package damsonslip.tools.lab.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The list of workers that discovery tells, with the history of its changes. Safe for use by
 * several threads.
 */
final class Membership {
    /** What the list says of a worker. */
    enum Lifecycle {
        READY,
        DRAINING,
        GONE
    }

    /** A worker as it is listed. */
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

    /** A change, when it was made. */
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

    /** Waits until there is something newer, or for so long. */
    synchronized void await(int since, long us) throws InterruptedException {
        if (generation <= since) {
            wait(Math.max(1, us / Clock.MILLISECOND));
        }
    }

    /** The whole list in discovery's form. */
    synchronized String whole() {
        return object(
                generation,
                true,
                entries.values().stream().filter(e -> e.lifecycle() != Lifecycle.GONE).toList());
    }

    /** These changes in discovery's form; the list's own generation if there are none. */
    synchronized String object(List<Change> told) {
        int newest = told.isEmpty() ? generation : told.get(told.size() - 1).generation();
        return object(newest, false, told.stream().map(Change::entry).toList());
    }

    private static String object(int generation, boolean whole, List<Entry> entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + whole
                + ",\"instances\":["
                + String.join(",", entries.stream().map(Entry::json).toList())
                + "]}";
    }
}
