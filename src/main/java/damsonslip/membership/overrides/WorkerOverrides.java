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
 * whatever status discovery lists for it and however often it is removed and listed again. An
 * enabled worker counts as started when it was enabled, unless the list contains a later start,
 * since operators restart a worker while it is disabled and it has to warm up.
 *
 * <p>Not thread-safe; times are in microseconds since the Unix epoch.
 */
public final class WorkerOverrides {
    /** First line of the serialized form, with its version. */
    private static final String HEADER = "damsonslip bans 1";

    private static final String FOOTER = "end";
    private static final String DISABLED = "out";
    private static final String ENABLED = "back";

    /** After this time an enabled worker has warmed up, and a removed one is unlikely to return. */
    private static final long RETENTION_US = 600_000_000;

    /** Thrown for a text that is not a complete serialized form; the message is a single line. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /** The last entry of each worker; those that a later list omitted have status REMOVED. */
    private final Map<String, WorkerEntry> lastListed = new TreeMap<>();

    /** Removal time of each worker that is no longer listed. */
    private final Map<String, Long> removedAtUs = new HashMap<>();

    private final Set<String> disabled = new TreeSet<>();

    /** Time at which each enabled worker was enabled. */
    private final Map<String, Long> enabledAtUs = new TreeMap<>();

    /**
     * Records a list from discovery and returns it with the overrides applied. Workers that were
     * removed long ago are forgotten, unless they are disabled.
     *
     * @param change whether the list is complete, so that workers it omits are removed
     */
    public List<WorkerEntry> apply(WorkerListChange change, List<WorkerEntry> list, long nowUs) {
        if (change == WorkerListChange.COMPLETE || change == WorkerListChange.CACHED) {
            lastListed.replaceAll(
                    (id, worker) -> withStatus(worker, WorkerStatus.REMOVED, worker.startedUs()));
        }
        list.forEach(worker -> lastListed.put(worker.id(), worker));
        recordRemovals(nowUs);
        forgetExpired(nowUs);
        return list.stream().map(this::withOverrides).toList();
    }

    private void recordRemovals(long nowUs) {
        lastListed.forEach(
                (id, worker) -> {
                    if (worker.status() == WorkerStatus.REMOVED) {
                        removedAtUs.putIfAbsent(id, nowUs);
                    } else {
                        removedAtUs.remove(id);
                    }
                });
    }

    private void forgetExpired(long nowUs) {
        removedAtUs.forEach(
                (id, removedUs) -> {
                    if (removedUs < nowUs - RETENTION_US && !disabled.contains(id)) {
                        lastListed.remove(id);
                    }
                });
        removedAtUs.keySet().retainAll(lastListed.keySet());
    }

    private WorkerEntry withOverrides(WorkerEntry worker) {
        boolean overridden =
                disabled.contains(worker.id()) && worker.status() == WorkerStatus.RUNNING;
        WorkerStatus status = overridden ? WorkerStatus.DRAINING : worker.status();
        long enabledUs = enabledAtUs.getOrDefault(worker.id(), Long.MIN_VALUE);
        return withStatus(worker, status, Math.max(worker.startedUs(), enabledUs));
    }

    private static WorkerEntry withStatus(WorkerEntry worker, WorkerStatus status, long startedUs) {
        return new WorkerEntry(
                worker.id(), worker.zone(), worker.cell(), worker.kind(), status, startedUs);
    }

    /** Whether the worker was ever listed, or is disabled. */
    public boolean isKnown(String id) {
        return lastListed.containsKey(id) || disabled.contains(id);
    }

    /**
     * Returns the worker's last listed entry without the overrides; null if it was never listed.
     */
    public WorkerEntry listed(String id) {
        return lastListed.get(id);
    }

    /** Whether an operator has disabled this worker. */
    public boolean isDisabled(String id) {
        return disabled.contains(id);
    }

    /** Disables a worker; returns the resulting list changes, none if it was already disabled. */
    public List<WorkerEntry> disable(String id) {
        return disabled.add(id) ? listChanges(List.of(id)) : List.of();
    }

    /** Enables a worker again; returns the resulting list changes, none if it was not disabled. */
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
                .map(id -> withOverrides(lastListed.get(id)))
                .toList();
    }

    /** Returns the ids of the workers that are currently listed, running or draining. */
    public Set<String> listedWorkers() {
        return lastListed.values().stream()
                .filter(worker -> worker.status() != WorkerStatus.REMOVED)
                .map(WorkerEntry::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Serializes the overrides as lines for {@link #restore} in another process; drops enabled
     * workers past their retention.
     */
    public String serialize(long nowUs) {
        enabledAtUs.values().removeIf(at -> at < nowUs - RETENTION_US);
        StringBuilder text = new StringBuilder(HEADER).append('\n');
        disabled.forEach(id -> text.append(DISABLED + ' ' + id + '\n'));
        enabledAtUs.forEach((id, at) -> text.append(ENABLED + ' ' + id + ' ' + at + '\n'));
        return text.append(FOOTER).append('\n').toString();
    }

    /**
     * Replaces the overrides with those of another process and returns the resulting list changes.
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
            parseLine(line, parsed);
        }
        return parsed;
    }

    private static void parseLine(String line, Parsed parsed) throws MalformedException {
        String[] words = line.split(" ", 0);
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
}
