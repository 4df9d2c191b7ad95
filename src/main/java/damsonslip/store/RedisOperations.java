package damsonslip.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import redis.clients.jedis.AbstractPipeline;
import redis.clients.jedis.Response;
import redis.clients.jedis.params.SetParams;

/**
 * Translates store operations to Redis commands, queues the commands in one pipeline, and decodes
 * the replies. One instance for each pipeline; not thread-safe.
 */
final class RedisOperations implements StoreOperation.Visitor<RedisOperations.PendingResult> {
    private static final Logger LOG = LoggerFactory.getLogger(RedisOperations.class);
    private static final String PREFIX = "damsonslip:";

    /** Separates the owning scheduler's name from the JSON form in the value of a record's key. */
    private static final char OWNER_SEPARATOR = '\n';

    /** Retention of an ended job's record, by which a repeated push is recognized. */
    private static final long ENDED_JOB_RETENTION_S = TimeUnit.DAYS.toSeconds(1);

    /** Retention of the time a worker was first seen; by then it has certainly warmed up. */
    private static final long FIRST_SEEN_RETENTION_S = TimeUnit.HOURS.toSeconds(1);

    private final AbstractPipeline pipeline;
    private final String scheduler;
    private final String openSet;

    RedisOperations(AbstractPipeline pipeline, String scheduler) {
        this.pipeline = pipeline;
        this.scheduler = scheduler;
        this.openSet = PREFIX + "open:" + scheduler;
    }

    /** The result of an operation; available once the pipeline has been synchronized. */
    interface PendingResult {
        Object get() throws StoreException;
    }

    /**
     * Adds the job to the open set before its body, and its body before its record: a crash in
     * between may leave an id without a job, but never a lost job or a record without a body.
     */
    @Override
    public PendingResult visit(StoreOperation.Add add) {
        String id = add.record().id();
        SetParams ifAbsent = SetParams.setParams().nx();
        Response<Long> listed = pipeline.sadd(openSet, id);
        Response<String> bodyWritten = pipeline.set(bodyKey(id), add.body(), ifAbsent);
        Response<String> recordWritten =
                pipeline.set(recordKey(id), encode(add.record()), SetParams.setParams().nx());
        Response<String> stored = pipeline.get(recordKey(id));
        return () -> {
            listed.get();
            bodyWritten.get();
            boolean added = recordWritten.get() != null || stored.get() == null;
            return added ? null : decode(stored.get());
        };
    }

    @Override
    public PendingResult visit(StoreOperation.Put put) {
        return whenAllDone(write(put.record()));
    }

    @Override
    public PendingResult visit(StoreOperation.Replace replace) {
        Response<String> body = pipeline.set(bodyKey(replace.record().id()), replace.body());
        List<Response<?>> written = write(replace.record());
        written.add(body);
        return whenAllDone(written);
    }

    @Override
    public PendingResult visit(StoreOperation.Reserve reserve) {
        PendingResult written = whenAllDone(write(reserve.record()));
        Response<String> body = pipeline.get(bodyKey(reserve.record().id()));
        return () -> {
            written.get();
            return body.get();
        };
    }

    @Override
    public PendingResult visit(StoreOperation.Get get) {
        Response<String> text = pipeline.get(recordKey(get.id()));
        return () -> text.get() == null ? null : decode(text.get());
    }

    @Override
    public PendingResult visit(StoreOperation.GetBodies bodies) {
        return getAll(bodies.ids(), RedisOperations::bodyKey)::get;
    }

    @Override
    public PendingResult visit(StoreOperation.Delete delete) {
        List<String> ids = delete.ids();
        if (ids.isEmpty()) {
            return () -> null;
        }
        Response<Long> unlisted = pipeline.srem(openSet, ids.toArray(String[]::new));
        Response<Long> records = pipeline.del(keys(ids, RedisOperations::recordKey));
        Response<Long> bodies = pipeline.del(keys(ids, RedisOperations::bodyKey));
        return whenAllDone(List.of(unlisted, records, bodies));
    }

    @Override
    public PendingResult visit(StoreOperation.ListOpen list) {
        var ids = pipeline.smembers(openSet);
        return () -> List.copyOf((Collection<String>) ids.get());
    }

    @Override
    public PendingResult visit(StoreOperation.LoadOpen load) {
        Response<List<String>> texts = getAll(load.ids(), RedisOperations::recordKey);
        return () -> {
            List<JobRecord> found = new ArrayList<>();
            for (String text : texts.get()) {
                JobRecord record = isOwn(text) ? decodeOrSkip(text) : null;
                if (record != null && !record.state().isFinal()) {
                    found.add(record);
                }
            }
            return found;
        };
    }

    @Override
    public PendingResult visit(StoreOperation.PutMetadata put) {
        String key = metadataKey(put.kind());
        Response<Long> done =
                put.value() == null
                        ? pipeline.hdel(key, put.key())
                        : pipeline.hset(key, put.key(), put.value());
        if (put.expiryS() > 0) {
            return whenAllDone(List.of(done, pipeline.expire(key, put.expiryS())));
        }
        return whenAllDone(List.of(done));
    }

    @Override
    public PendingResult visit(StoreOperation.GetMetadata get) {
        Response<Map<String, String>> found = pipeline.hgetAll(metadataKey(get.kind()));
        return found::get;
    }

    @Override
    public PendingResult visit(StoreOperation.RecordFirstSeen seen) {
        String key = PREFIX + "worker:" + seen.worker();
        SetParams ifAbsent = SetParams.setParams().nx().ex(FIRST_SEEN_RETENTION_S);
        pipeline.set(key, Long.toString(seen.nowMs()), ifAbsent);
        Response<String> first = pipeline.get(key);
        pipeline.expire(key, FIRST_SEEN_RETENTION_S);
        return () -> first.get() == null ? seen.nowMs() : Long.parseLong(first.get());
    }

    private List<Response<?>> write(JobRecord record) {
        String id = record.id();
        List<Response<?>> responses = new ArrayList<>();
        if (record.state().isFinal()) {
            SetParams withExpiry = SetParams.setParams().ex(ENDED_JOB_RETENTION_S);
            responses.add(pipeline.set(recordKey(id), encode(record), withExpiry));
            responses.add(pipeline.del(bodyKey(id)));
            responses.add(pipeline.srem(openSet, id));
            return responses;
        }
        if (record.state() != JobRecord.State.RESERVED) { // a reserved job is in the set already
            responses.add(pipeline.sadd(openSet, id));
        }
        responses.add(pipeline.set(recordKey(id), encode(record)));
        return responses;
    }

    /**
     * Whether a stored record belongs to this scheduler. If a job with the same id was pushed to
     * several schedulers, each has the id in its open set, but only the owner may recover the job
     * at its next start.
     */
    private boolean isOwn(String text) {
        return text != null && text.startsWith(scheduler + OWNER_SEPARATOR);
    }

    /** Decodes a record; null if it is unreadable, since this must not prevent others' recovery. */
    private static JobRecord decodeOrSkip(String text) {
        try {
            return decode(text);
        } catch (StoreException e) {
            LOG.warn("event=record_unreadable left in the store: {}", e.getMessage());
            return null;
        }
    }

    private String encode(JobRecord record) {
        return scheduler + OWNER_SEPARATOR + record.encode();
    }

    private static JobRecord decode(String text) throws StoreException {
        return JobRecord.decode(text.substring(text.indexOf(OWNER_SEPARATOR) + 1));
    }

    private Response<List<String>> getAll(List<String> ids, UnaryOperator<String> key) {
        return pipeline.mget(keys(ids, key));
    }

    private static String[] keys(List<String> ids, UnaryOperator<String> key) {
        return ids.stream().map(key).toArray(String[]::new);
    }

    /** Returns a result without a value, which fails if one of the commands failed. */
    private static PendingResult whenAllDone(List<? extends Response<?>> responses) {
        return () -> {
            responses.forEach(Response::get);
            return null;
        };
    }

    private static String recordKey(String id) {
        return PREFIX + "job:" + id;
    }

    private static String bodyKey(String id) {
        return PREFIX + "body:" + id;
    }

    private String metadataKey(String kind) {
        return PREFIX + kind + ":" + scheduler;
    }
}
