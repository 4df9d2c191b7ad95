package damsonslip.store;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import redis.clients.jedis.AbstractPipeline;
import redis.clients.jedis.DefaultJedisClientConfig;
import redis.clients.jedis.HostAndPort;
import redis.clients.jedis.RedisClient;
import redis.clients.jedis.Response;
import redis.clients.jedis.exceptions.JedisDataException;
import redis.clients.jedis.exceptions.JedisException;
import redis.clients.jedis.params.SetParams;

/**
 * Keeps jobs in Redis: for each a key with its record and one with its body, which several
 * schedulers share, and for each scheduler the set of its jobs that are not over. What is asked for
 * together goes there in one pipeline: a journey to and fro for each job was what bounded the jobs
 * a second.
 */
public final class RedisStore implements JobStore {
    private static final Logger LOG = LoggerFactory.getLogger(RedisStore.class);
    private static final String PREFIX = "damsonslip:";
    private static final char OWNER = '\n';

    /**
     * A store on the same network answers within a few milliseconds; past this it counts as down.
     */
    private static final int TIMEOUT_MS = 500;

    /** A job that is over is remembered this long, so that a repeated push finds it. */
    private static final long KEEP_OVER_S = TimeUnit.DAYS.toSeconds(1);

    /** A worker's first appearance is remembered this long: by then it is warm in any case. */
    private static final long KEEP_WORKER_S = TimeUnit.HOURS.toSeconds(1);

    private final RedisClient redis;
    private final String scheduler;
    private final String open;

    /** Connects when first asked, so that the scheduler starts while the store is down. */
    public RedisStore(HostAndPort address, String password, String scheduler) {
        DefaultJedisClientConfig.Builder config =
                DefaultJedisClientConfig.builder()
                        .connectionTimeoutMillis(TIMEOUT_MS)
                        .socketTimeoutMillis(TIMEOUT_MS);
        if (!password.isEmpty()) {
            config.password(password);
        }
        this.redis =
                RedisClient.builder().hostAndPort(address).clientConfig(config.build()).build();
        this.scheduler = scheduler;
        this.open = PREFIX + "open:" + scheduler;
    }

    /** Reads a result once the pipeline has been carried out. */
    private interface Result {
        Object get() throws StoreException;
    }

    @Override
    public List<Object> run(List<? extends StoreOperation<?>> ops) throws StoreException {
        try (AbstractPipeline line = redis.pipelined()) {
            List<Result> results = new ArrayList<>(ops.size());
            ops.forEach(op -> results.add(ask(line, op)));
            line.sync();
            List<Object> given = new ArrayList<>(ops.size());
            for (Result result : results) {
                given.add(given(result));
            }
            return given;
        } catch (JedisException e) {
            throw new StoreException("the store does not answer", e);
        }
    }

    /** An error that the store tells of one command fails that one alone. */
    private static Object given(Result result) {
        try {
            return result.get();
        } catch (StoreException e) {
            return e;
        } catch (JedisDataException | NumberFormatException e) {
            return new StoreException("the store refuses: " + e.getMessage(), e);
        }
    }

    private Result ask(AbstractPipeline line, StoreOperation<?> op) {
        if (op instanceof StoreOperation.Add add) {
            return add(line, add.record(), add.body());
        } else if (op instanceof StoreOperation.Put put) {
            return all(put(line, put.record()));
        } else if (op instanceof StoreOperation.Replace replace) {
            Response<String> body = line.set(body(replace.record().id()), replace.body());
            List<Response<?>> record = put(line, replace.record());
            record.add(body);
            return all(record);
        } else if (op instanceof StoreOperation.Take take) {
            List<Response<?>> record = put(line, take.record());
            Response<String> body = line.get(body(take.record().id()));
            return () -> {
                all(record).get();
                return body.get();
            };
        } else if (op instanceof StoreOperation.Get get) {
            Response<String> text = line.get(key(get.id()));
            return () -> text.get() == null ? null : decode(text.get());
        } else if (op instanceof StoreOperation.Bodies bodies) {
            return many(line, bodies.ids(), RedisStore::body)::get;
        } else if (op instanceof StoreOperation.Drop drop) {
            return drop(line, drop.ids());
        } else if (op instanceof StoreOperation.Open) {
            var ids = line.smembers(open);
            return () -> List.copyOf((Collection<String>) ids.get());
        } else if (op instanceof StoreOperation.Load load) {
            return load(line, load.ids());
        }
        return aside(line, op);
    }

    private Result aside(AbstractPipeline line, StoreOperation<?> op) {
        if (op instanceof StoreOperation.Note note) {
            String where = notes(note.kind());
            Response<Long> done =
                    note.words() == null
                            ? line.hdel(where, note.key())
                            : line.hset(where, note.key(), note.words());
            return all(List.of(done));
        } else if (op instanceof StoreOperation.Notes notes) {
            Response<Map<String, String>> found = line.hgetAll(notes(notes.kind()));
            return found::get;
        } else if (op instanceof StoreOperation.FirstSeen seen) {
            String key = PREFIX + "worker:" + seen.worker();
            line.set(
                    key, Long.toString(seen.nowMs()), SetParams.setParams().nx().ex(KEEP_WORKER_S));
            Response<String> first = line.get(key);
            line.expire(key, KEEP_WORKER_S);
            return () -> first.get() == null ? seen.nowMs() : Long.parseLong(first.get());
        }
        throw new IllegalArgumentException("unknown: " + op);
    }

    /**
     * Listed before it is written, and its body before its record: a crash in between leaves a name
     * without a job, never a lost job and never a record without a body.
     */
    private Result add(AbstractPipeline line, JobRecord record, String body) {
        Response<Long> listed = line.sadd(open, record.id());
        Response<String> text = line.set(body(record.id()), body, SetParams.setParams().nx());
        Response<String> fresh =
                line.set(key(record.id()), encode(record), SetParams.setParams().nx());
        Response<String> there = line.get(key(record.id()));
        return () -> {
            listed.get();
            text.get();
            return fresh.get() != null || there.get() == null ? null : decode(there.get());
        };
    }

    private List<Response<?>> put(AbstractPipeline line, JobRecord record) {
        List<Response<?>> done = new ArrayList<>(3);
        if (record.state().isFinal()) {
            done.add(
                    line.set(
                            key(record.id()),
                            encode(record),
                            SetParams.setParams().ex(KEEP_OVER_S)));
            done.add(line.del(body(record.id())));
            done.add(line.srem(open, record.id()));
        } else {
            if (record.state()
                    != JobRecord.State
                            .RESERVED) { // what is reserved was listed when it was taken in
                done.add(line.sadd(open, record.id()));
            }
            done.add(line.set(key(record.id()), encode(record)));
        }
        return done;
    }

    private Result drop(AbstractPipeline line, List<String> ids) {
        if (ids.isEmpty()) {
            return () -> null;
        }
        Response<Long> unlisted = line.srem(open, ids.toArray(String[]::new));
        Response<Long> records = line.del(ids.stream().map(RedisStore::key).toArray(String[]::new));
        Response<Long> bodies = line.del(ids.stream().map(RedisStore::body).toArray(String[]::new));
        return all(List.of(unlisted, records, bodies));
    }

    private Result load(AbstractPipeline line, List<String> ids) {
        Response<List<String>> texts = many(line, ids, RedisStore::key);
        return () -> {
            List<JobRecord> found = new ArrayList<>();
            for (String text : texts.get()) {
                JobRecord record =
                        text == null || !text.startsWith(scheduler + OWNER) ? null : readable(text);
                if (record != null && !record.state().isFinal()) {
                    found.add(record);
                }
            }
            return found;
        };
    }

    /** One record that cannot be read must not keep all others from being taken up. */
    private static JobRecord readable(String text) {
        try {
            return decode(text);
        } catch (StoreException e) {
            LOG.warn("left in the store: {}", e.getMessage());
            return null;
        }
    }

    /**
     * A record stands behind the name of the scheduler that took the job in. Guards against a
     * second one that has the same id pushed to it, lists it before it knows, and would take the
     * job up at its next start.
     */
    private String encode(JobRecord record) {
        return scheduler + OWNER + record.encode();
    }

    private static JobRecord decode(String text) throws StoreException {
        return JobRecord.decode(text.substring(text.indexOf(OWNER) + 1));
    }

    private static Response<List<String>> many(
            AbstractPipeline line, List<String> ids, java.util.function.UnaryOperator<String> key) {
        return line.mget(ids.stream().map(key).toArray(String[]::new));
    }

    /** Nothing to give but that all of it was done. */
    private static Result all(List<? extends Response<?>> responses) {
        return () -> {
            responses.forEach(Response::get);
            return null;
        };
    }

    @Override
    public void close() {
        redis.close();
    }

    private static String key(String id) {
        return PREFIX + "job:" + id;
    }

    private static String body(String id) {
        return PREFIX + "body:" + id;
    }

    private String notes(String kind) {
        return PREFIX + kind + ":" + scheduler;
    }

    /** Reads {@code redis://127.0.0.1:6379}. */
    public static HostAndPort address(String url) {
        URI uri = URI.create(url);
        if (!"redis".equals(uri.getScheme()) || uri.getHost() == null) {
            throw new IllegalArgumentException("not a redis:// address: " + url);
        }
        return new HostAndPort(uri.getHost(), uri.getPort() < 0 ? 6379 : uri.getPort());
    }
}
