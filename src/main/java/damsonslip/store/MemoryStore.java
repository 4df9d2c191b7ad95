package damsonslip.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** A store for trying the program out: it ends with the process. */
public final class MemoryStore implements JobStore {
    /** Jobs that are over are remembered up to this many, so that a repeated push finds them. */
    private static final int MOST_OVER = 20_000;

    private record Held(JobRecord record, String body) {}

    private final Map<String, Held> jobs = new LinkedHashMap<>();
    private final Set<String> over = new LinkedHashSet<>();
    private final Map<String, Map<String, String>> notes = new LinkedHashMap<>();
    private final Map<String, Long> workers = new LinkedHashMap<>();

    @Override
    public synchronized List<Object> run(List<? extends StoreOperation<?>> ops) {
        List<Object> results = new ArrayList<>(ops.size());
        ops.forEach(op -> results.add(run(op)));
        return results;
    }

    private Object run(StoreOperation<?> op) {
        if (op instanceof StoreOperation.Add add) {
            Held before = jobs.putIfAbsent(add.record().id(), new Held(add.record(), add.body()));
            return before == null ? null : before.record();
        } else if (op instanceof StoreOperation.Put put) {
            return put(put.record(), body(put.record().id()));
        } else if (op instanceof StoreOperation.Replace replace) {
            return put(replace.record(), replace.body());
        } else if (op instanceof StoreOperation.Take take) {
            String body = body(take.record().id());
            put(take.record(), body);
            return body;
        } else if (op instanceof StoreOperation.Get get) {
            Held held = jobs.get(get.id());
            return held == null ? null : held.record();
        } else if (op instanceof StoreOperation.Bodies bodies) {
            List<String> found = new ArrayList<>();
            bodies.ids().forEach(id -> found.add(body(id)));
            return found;
        } else if (op instanceof StoreOperation.Drop drop) {
            drop.ids()
                    .forEach(
                            id -> {
                                jobs.remove(id);
                                over.remove(id);
                            });
            return null;
        } else if (op instanceof StoreOperation.Open) {
            return jobs.values().stream()
                    .map(Held::record)
                    .filter(record -> !record.state().isFinal())
                    .map(JobRecord::id)
                    .toList();
        } else if (op instanceof StoreOperation.Load load) {
            return load.ids().stream()
                    .map(jobs::get)
                    .filter(Objects::nonNull)
                    .map(Held::record)
                    .filter(record -> !record.state().isFinal())
                    .toList();
        }
        return aside(op);
    }

    private Object aside(StoreOperation<?> op) {
        if (op instanceof StoreOperation.Note note) {
            Map<String, String> kind =
                    notes.computeIfAbsent(note.kind(), k -> new LinkedHashMap<>());
            if (note.words() == null) {
                kind.remove(note.key());
            } else {
                kind.put(note.key(), note.words());
            }
            return null;
        } else if (op instanceof StoreOperation.Notes all) {
            return new LinkedHashMap<>(notes.getOrDefault(all.kind(), Map.of()));
        } else if (op instanceof StoreOperation.FirstSeen seen) {
            Long before = workers.putIfAbsent(seen.worker(), seen.nowMs());
            return before == null ? seen.nowMs() : before;
        }
        throw new IllegalArgumentException("unknown: " + op);
    }

    private String body(String id) {
        Held held = jobs.get(id);
        return held == null ? null : held.body();
    }

    private Void put(JobRecord record, String body) {
        boolean ended = record.state().isFinal();
        jobs.put(
                record.id(),
                new Held(record, ended ? null : body)); // a job that is over needs no body
        if (ended && over.add(record.id()) && over.size() > MOST_OVER) {
            String oldest = over.iterator().next();
            over.remove(oldest);
            jobs.remove(oldest);
        } else if (!ended) {
            over.remove(record.id());
        }
        return null;
    }

    @Override
    public void close() {}
}
