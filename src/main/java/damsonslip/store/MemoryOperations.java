package damsonslip.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/** The content of a {@link MemoryStore} and the operations on it. Not thread-safe. */
final class MemoryOperations implements StoreOperation.Visitor<Object> {
    /** Maximum number of retained ended jobs, by which a repeated push is recognized. */
    private static final int MAX_ENDED_JOBS = 20_000;

    private record StoredJob(JobRecord record, String body) {}

    private final Map<String, StoredJob> jobs = new LinkedHashMap<>();
    private final Set<String> endedIds = new LinkedHashSet<>();
    private final Map<String, Map<String, String>> metadata = new LinkedHashMap<>();
    private final Map<String, Long> firstSeenMs = new LinkedHashMap<>();

    @Override
    public Object visit(StoreOperation.Add add) {
        StoredJob job = new StoredJob(add.record(), add.body());
        StoredJob existing = jobs.putIfAbsent(add.record().id(), job);
        return existing == null ? null : existing.record();
    }

    @Override
    public Object visit(StoreOperation.Put put) {
        write(put.record(), body(put.record().id()));
        return null;
    }

    @Override
    public Object visit(StoreOperation.Replace replace) {
        write(replace.record(), replace.body());
        return null;
    }

    @Override
    public Object visit(StoreOperation.Reserve reserve) {
        String body = body(reserve.record().id());
        write(reserve.record(), body);
        return body;
    }

    @Override
    public Object visit(StoreOperation.Get get) {
        StoredJob job = jobs.get(get.id());
        return job == null ? null : job.record();
    }

    @Override
    public Object visit(StoreOperation.GetBodies bodies) {
        List<String> found = new ArrayList<>();
        bodies.ids().forEach(id -> found.add(body(id)));
        return found;
    }

    @Override
    public Object visit(StoreOperation.Delete delete) {
        delete.ids().forEach(jobs::remove);
        delete.ids().forEach(endedIds::remove);
        return null;
    }

    @Override
    public Object visit(StoreOperation.ListOpen list) {
        return openRecords(jobs.values().stream()).map(JobRecord::id).toList();
    }

    @Override
    public Object visit(StoreOperation.LoadOpen load) {
        return openRecords(load.ids().stream().map(jobs::get).filter(Objects::nonNull)).toList();
    }

    @Override
    public Object visit(StoreOperation.PutMetadata put) {
        Map<String, String> values =
                metadata.computeIfAbsent(put.kind(), kind -> new LinkedHashMap<>());
        if (put.value() == null) {
            values.remove(put.key());
        } else {
            values.put(put.key(), put.value());
        }
        return null;
    }

    @Override
    public Object visit(StoreOperation.GetMetadata get) {
        return new LinkedHashMap<>(metadata.getOrDefault(get.kind(), Map.of()));
    }

    @Override
    public Object visit(StoreOperation.RecordFirstSeen seen) {
        Long before = firstSeenMs.putIfAbsent(seen.worker(), seen.nowMs());
        return before == null ? seen.nowMs() : before;
    }

    private static Stream<JobRecord> openRecords(Stream<StoredJob> among) {
        return among.map(StoredJob::record).filter(record -> !record.state().isFinal());
    }

    private String body(String id) {
        StoredJob job = jobs.get(id);
        return job == null ? null : job.body();
    }

    /** Writes a job; drops the body of an ended one, which is no longer needed. */
    private void write(JobRecord record, String body) {
        if (record.state().isFinal()) {
            jobs.put(record.id(), new StoredJob(record, null));
            retainEnded(record.id());
        } else {
            jobs.put(record.id(), new StoredJob(record, body));
            endedIds.remove(record.id());
        }
    }

    private void retainEnded(String id) {
        if (endedIds.add(id) && endedIds.size() > MAX_ENDED_JOBS) {
            String oldest = endedIds.iterator().next();
            endedIds.remove(oldest);
            jobs.remove(oldest);
        }
    }
}
