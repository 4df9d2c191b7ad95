package damsonslip.membership.overrides;

import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The operators' overrides of the worker list, by worker id. A disabled worker counts as draining,
 * whatever discovery says of it and however often it leaves and returns. An enabled one counts as
 * started at that moment, unless the list names a later start, since operators restart a worker
 * while it is disabled and it has to warm up.
 *
 * <p>Not thread-safe; times are in microseconds since the Unix epoch.
 */
public final class WorkerOverrides {
    /** First line of the serialized form, with its version. */
    private static final String HEADER = "damsonslip bans 1";

    private static final String FOOTER = "end";
    private static final String DISABLED = "out";
    private static final String ENABLED = "back";

    /**
     * An enabled worker counts as warm everywhere after this time, and one that is gone will hardly
     * come back.
     */
    private static final long RETENTION_US = 600_000_000;

    /** A text that is not a complete serialized form; the message is one line for the log. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /**
     * The last entry of each worker that a list has named; one that a later list left out has
     * status GONE.
     */
    private final Map<String, WorkerEntry> lastListed = new TreeMap<>();

    /** Since when those have been gone that are. */
    private final Map<String, Long> goneSinceUs = new HashMap<>();

    private final Set<String> disabled = new TreeSet<>();

    /** When each worker was enabled again. */
    private final Map<String, Long> enabledAtUs = new TreeMap<>();

    /**
     * Records a list from discovery and returns it with the overrides applied. Workers that are
     * long gone are forgotten, unless they are disabled.
     *
     * @param mode whether the list is complete, so that workers it leaves out are gone
     */
    public List<WorkerEntry> apply(WorkerListChange mode, List<WorkerEntry> list, long nowUs) {
        if (mode == WorkerListChange.COMPLETE || mode == WorkerListChange.KEPT) {
            lastListed.replaceAll(
                    (id, worker) -> with(worker, WorkerStatus.REMOVED, worker.startedUs()));
        }
        list.forEach(worker -> lastListed.put(worker.id(), worker));
        forget(nowUs);
        return list.stream().map(this::overridden).toList();
    }

    private void forget(long nowUs) {
        lastListed.forEach(
                (id, worker) -> {
                    if (worker.status() == WorkerStatus.REMOVED) {
                        goneSinceUs.putIfAbsent(id, nowUs);
                    } else {
                        goneSinceUs.remove(id);
                    }
                });
        goneSinceUs.forEach(
                (id, sinceUs) -> {
                    if (sinceUs < nowUs - RETENTION_US && !disabled.contains(id)) {
                        lastListed.remove(id);
                    }
                });
        goneSinceUs.keySet().retainAll(lastListed.keySet());
    }

    private WorkerEntry overridden(WorkerEntry worker) {
        boolean drains = disabled.contains(worker.id()) && worker.status() == WorkerStatus.RUNNING;
        WorkerStatus status = drains ? WorkerStatus.DRAINING : worker.status();
        long enabledUs = enabledAtUs.getOrDefault(worker.id(), Long.MIN_VALUE);
        return with(worker, status, Math.max(worker.startedUs(), enabledUs));
    }

    private static WorkerEntry with(WorkerEntry w, WorkerStatus status, long startedUs) {
        return new WorkerEntry(w.id(), w.zone(), w.cell(), w.kind(), status, startedUs);
    }

    /** Whether any list has named this worker, or it is disabled. */
    public boolean isKnown(String id) {
        return lastListed.containsKey(id) || disabled.contains(id);
    }

    /**
     * What the newest list that named this worker says of it, without the overrides; null if none
     * has.
     */
    public WorkerEntry listed(String id) {
        return lastListed.get(id);
    }

    /** Whether an operator has disabled this worker. */
    public boolean isDisabled(String id) {
        return disabled.contains(id);
    }

    /** Disables a worker; returns the list changes that follow, none if it was disabled already. */
    public List<WorkerEntry> disable(String id) {
        return disabled.add(id) ? listChanges(List.of(id)) : List.of();
    }

    /**
     * Enables a worker again; returns the list changes that follow, none if it was not disabled.
     */
    public List<WorkerEntry> enable(String id, long nowUs) {
        if (!disabled.remove(id)) {
            return List.of();
        }
        enabledAtUs.put(id, nowUs);
        return listChanges(List.of(id));
    }

    private List<WorkerEntry> listChanges(Collection<String> ids) {
        return ids.stream()
                .filter(lastListed::containsKey)
                .map(id -> overridden(lastListed.get(id)))
                .toList();
    }

    /** The ids of the workers that are on the list now, running or draining. */
    public Set<String> listedWorkers() {
        return lastListed.values().stream()
                .filter(worker -> worker.status() != WorkerStatus.REMOVED)
                .map(WorkerEntry::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Serializes the overrides as lines for {@link #restore} in another process; drops entries past
     * their retention.
     */
    public String serialize(long nowUs) {
        enabledAtUs.values().removeIf(at -> at < nowUs - RETENTION_US);
        StringBuilder text = new StringBuilder(HEADER).append('\n');
        disabled.forEach(id -> text.append(DISABLED).append(' ').append(id).append('\n'));
        enabledAtUs.forEach(
                (id, at) ->
                        text.append(ENABLED)
                                .append(' ')
                                .append(id)
                                .append(' ')
                                .append(at)
                                .append('\n'));
        return text.append(FOOTER).append('\n').toString();
    }

    /**
     * Replaces the overrides by those of another process and returns the list changes that follow.
     *
     * @throws MalformedException if the text is incomplete or of another version; nothing has
     *     changed then
     */
    public List<WorkerEntry> restore(String text) throws MalformedException {
        Parsed parsed = parse(text);
        Set<String> changed = new TreeSet<>(parsed.disabled());
        changed.addAll(disabled);
        changed.removeIf(id -> parsed.disabled().contains(id) && disabled.contains(id));
        parsed.enabledAtUs()
                .forEach(
                        (id, at) -> {
                            if (!at.equals(enabledAtUs.put(id, at))) {
                                changed.add(id);
                            }
                        });
        disabled.clear();
        disabled.addAll(parsed.disabled());
        return new ArrayList<>(listChanges(changed));
    }

    private record Parsed(Set<String> disabled, Map<String, Long> enabledAtUs) {}

    private static Parsed parse(String text) throws MalformedException {
        List<String> lines = text.lines().toList();
        if (lines.size() < 2
                || !lines.get(0).equals(HEADER)
                || !lines.get(lines.size() - 1).equals(FOOTER)) {
            throw new MalformedException("not a whole text of '" + HEADER + "'");
        }
        Parsed parsed = new Parsed(new TreeSet<>(), new HashMap<>());
        for (String line : lines.subList(1, lines.size() - 1)) {
            String[] words = line.split(" ");
            if (words.length == 2 && words[0].equals(DISABLED)) {
                parsed.disabled().add(words[1]);
            } else if (words.length == 3
                    && words[0].equals(ENABLED)
                    && words[2].matches("[0-9]{1,18}")) {
                parsed.enabledAtUs().put(words[1], Long.parseLong(words[2]));
            } else {
                throw new MalformedException("a line that is not understood: " + line);
            }
        }
        return parsed;
    }
}
