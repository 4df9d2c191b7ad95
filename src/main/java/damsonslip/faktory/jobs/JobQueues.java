package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * The queues and their jobs that are not dispatched. Each queue is split into one class queue per
 * job class, ordered by priority and then by arrival. Not thread-safe.
 */
final class JobQueues {
    /**
     * A job's place in its class queue: the highest priority first, then the order of arrival. Two
     * jobs in the store may have the same sequence number, since schedulers of earlier versions
     * began at 1 again with each start; their ids keep them apart.
     */
    private record Position(int priority, long sequence, String id)
            implements Comparable<Position> {
        static Position of(JobRecord record) {
            return new Position(record.options().priority(), record.sequence(), record.id());
        }

        @Override
        public int compareTo(Position other) {
            int byPriority = Integer.compare(other.priority, priority);
            if (byPriority != 0) {
                return byPriority;
            }
            int bySequence = Long.compare(sequence, other.sequence);
            return bySequence != 0 ? bySequence : id.compareTo(other.id);
        }
    }

    /** By class, then by queue name. */
    private final List<Map<String, TreeMap<Position, JobEntry>>> classQueues = new ArrayList<>();

    /** The number of jobs in each queue, dispatched ones included. */
    private final Map<String, Integer> sizes = new TreeMap<>();

    private final Set<String> paused = new TreeSet<>();

    /** For the fair order: the value of {@link #serveCount} when each queue was last served. */
    private final Map<String, Long> lastServed = new HashMap<>();

    /** How often any queue has been served. */
    private long serveCount;

    JobQueues(int classes) {
        for (int i = 0; i < classes; i++) {
            classQueues.add(new HashMap<>());
        }
    }

    /** Adds a job to its queue; a dispatched job only counts towards the size. */
    void add(JobEntry entry) {
        String queue = entry.record().options().queue();
        sizes.merge(queue, 1, Integer::sum);
        if (!entry.isDispatched()) {
            Map<String, TreeMap<Position, JobEntry>> queues = classQueues.get(entry.jobClass());
            queues.computeIfAbsent(queue, name -> new TreeMap<>())
                    .put(Position.of(entry.record()), entry);
        }
    }

    /**
     * Removes a job from its queue; its record and dispatched flag must be those that it was added
     * with.
     */
    void remove(JobEntry entry) {
        String queue = entry.record().options().queue();
        sizes.computeIfPresent(queue, (name, size) -> size == 1 ? null : size - 1);
        if (!entry.isDispatched()) {
            removeFromClassQueue(entry, queue);
        }
    }

    private void removeFromClassQueue(JobEntry entry, String queue) {
        Map<String, TreeMap<Position, JobEntry>> queues = classQueues.get(entry.jobClass());
        TreeMap<Position, JobEntry> classQueue = queues.get(queue);
        if (classQueue == null || classQueue.remove(Position.of(entry.record())) == null) {
            return;
        }
        if (classQueue.isEmpty()) {
            queues.remove(queue);
            lastServed.remove(queue);
        }
    }

    /** Selects the next job; see {@link JobTable#next}. */
    JobEntry next(List<String> queues, boolean fair, long nowMs, IntPredicate mayDispatch) {
        for (String queue : fair ? leastRecentlyServedFirst(queues) : queues) {
            JobEntry next = paused.contains(queue) ? null : first(queue, nowMs, mayDispatch);
            if (next != null) {
                lastServed.put(queue, ++serveCount);
                return next;
            }
        }
        return null;
    }

    private List<String> leastRecentlyServedFirst(List<String> queues) {
        return queues.stream()
                .sorted(Comparator.comparingLong(queue -> lastServed.getOrDefault(queue, 0L)))
                .toList();
    }

    /**
     * The first job of a queue by priority and arrival, among the heads of those classes that may
     * be dispatched. The head of a class blocks the jobs behind it while it is delayed.
     */
    private JobEntry first(String queue, long nowMs, IntPredicate mayDispatch) {
        Map.Entry<Position, JobEntry> found = null;
        for (int jobClass = 0; jobClass < classQueues.size(); jobClass++) {
            TreeMap<Position, JobEntry> classQueue = classQueues.get(jobClass).get(queue);
            if (classQueue == null) {
                continue;
            }
            Map.Entry<Position, JobEntry> head = classQueue.firstEntry();
            if ((found == null || head.getKey().compareTo(found.getKey()) < 0)
                    && mayDispatch.test(jobClass)
                    && head.getValue().notBeforeMs() <= nowMs) {
                found = head;
            }
        }
        return found == null ? null : found.getValue();
    }

    /** The jobs of a queue that are not dispatched. */
    List<JobEntry> waitingIn(String queue) {
        List<JobEntry> found = new ArrayList<>();
        for (Map<String, TreeMap<Position, JobEntry>> queues : classQueues) {
            found.addAll(queues.getOrDefault(queue, new TreeMap<>()).values());
        }
        return found;
    }

    boolean hasWaiting(int jobClass) {
        return !classQueues.get(jobClass).isEmpty();
    }

    boolean pause(String queue) {
        return paused.add(queue);
    }

    boolean resume(String queue) {
        return paused.remove(queue);
    }

    boolean isPaused(String queue) {
        return paused.contains(queue);
    }

    Set<String> paused() {
        return Set.copyOf(paused);
    }

    int size(String queue) {
        return sizes.getOrDefault(queue, 0);
    }

    Map<String, Integer> sizes() {
        return new TreeMap<>(sizes);
    }

    int totalSize() {
        return sizes.values().stream().mapToInt(Integer::intValue).sum();
    }
}
