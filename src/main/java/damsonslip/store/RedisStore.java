package damsonslip.store;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import redis.clients.jedis.DefaultJedisClientConfig;
import redis.clients.jedis.HostAndPort;
import redis.clients.jedis.RedisClient;
import redis.clients.jedis.exceptions.JedisException;
import redis.clients.jedis.params.SetParams;

/**
 * Keeps jobs in Redis: one key a job, which several schedulers share, and for each scheduler the set of its jobs
 * that are not final. Guards against a lost answer: each call may be repeated without harm.
 */
public final class RedisStore implements JobStore {
    private static final String PREFIX = "damsonslip:";
    private static final int TIMEOUT_MS = 500;
    /** A final state is remembered this long, so that a repeated push finds it. */
    private static final long KEEP_FINAL_S = 24 * 3600;
    /** An open job is remembered at the least this long, however short its deadline. */
    private static final long KEEP_OPEN_S = 7 * 24 * 3600;
    private static final long KEEP_WORKER_S = 3600;

    private final RedisClient redis;
    private final String open;

    /** Connects when first asked, so that the scheduler starts while the store is down. */
    public RedisStore(HostAndPort address, String password, String scheduler) {
        DefaultJedisClientConfig.Builder config = DefaultJedisClientConfig.builder()
            .connectionTimeoutMillis(TIMEOUT_MS).socketTimeoutMillis(TIMEOUT_MS);
        if (!password.isEmpty()) {
            config.password(password);
        }
        this.redis = RedisClient.builder().hostAndPort(address).clientConfig(config.build()).build();
        this.open = PREFIX + "open:" + scheduler;
    }

    @Override
    public JobRecord add(JobRecord record) throws StoreException {
        return call(() -> {
            // listed before it is written: a crash in between leaves a name without a job, never a lost job
            redis.sadd(open, record.id());
            String set = redis.set(key(record.id()), record.encode(), SetParams.setParams().nx().ex(KEEP_OPEN_S));
            return set != null ? null : JobRecord.decode(redis.get(key(record.id())));
        });
    }

    @Override
    public void put(JobRecord record) throws StoreException {
        call(() -> {
            boolean over = record.state().isFinal();
            redis.set(key(record.id()), record.encode(),
                SetParams.setParams().ex(over ? KEEP_FINAL_S : KEEP_OPEN_S));
            if (over) {
                redis.srem(open, record.id());
            }
            return null;
        });
    }

    @Override
    public JobRecord get(String id) throws StoreException {
        return call(() -> {
            String text = redis.get(key(id));
            return text == null ? null : JobRecord.decode(text);
        });
    }

    @Override
    public List<JobRecord> unresolved() throws StoreException {
        return call(() -> {
            List<JobRecord> found = new ArrayList<>();
            Set<String> ids = redis.smembers(open);
            for (String id : ids) {
                String text = redis.get(key(id));
                JobRecord record = text == null ? null : JobRecord.decode(text);
                if (record == null || record.state().isFinal()) {
                    redis.srem(open, id);
                } else {
                    found.add(record);
                }
            }
            return found;
        });
    }

    @Override
    public long firstSeen(String worker, long nowMs) throws StoreException {
        return call(() -> {
            String key = PREFIX + "worker:" + worker;
            String set = redis.set(key, Long.toString(nowMs), SetParams.setParams().nx().ex(KEEP_WORKER_S));
            String before = set != null ? null : redis.get(key);
            redis.expire(key, KEEP_WORKER_S);
            return before == null ? nowMs : Long.parseLong(before);
        });
    }

    @Override
    public void close() {
        redis.close();
    }

    private static String key(String id) {
        return PREFIX + "job:" + id;
    }

    private interface Call<T> {
        T run() throws StoreException;
    }

    private static <T> T call(Call<T> call) throws StoreException {
        try {
            return call.run();
        } catch (JedisException | NumberFormatException e) {
            throw new StoreException("the store does not answer", e);
        }
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
