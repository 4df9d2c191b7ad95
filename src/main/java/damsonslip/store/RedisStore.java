package damsonslip.store;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import redis.clients.jedis.AbstractPipeline;
import redis.clients.jedis.DefaultJedisClientConfig;
import redis.clients.jedis.HostAndPort;
import redis.clients.jedis.RedisClient;
import redis.clients.jedis.exceptions.JedisDataException;
import redis.clients.jedis.exceptions.JedisException;

/**
 * Stores jobs in Redis. Each job has a key for its record and one for its body, which all
 * schedulers share; each scheduler has a set of its open jobs. Operations that are executed
 * together are sent in one pipeline. Thread-safe.
 */
public final class RedisStore implements JobStore {
    /** Timeout of a connect or reply; a store on the same network that takes longer is down. */
    private static final int TIMEOUT_MS = 500;

    private static final int DEFAULT_PORT = 6379;

    private final RedisClient redis;
    private final String scheduler;

    /**
     * Creates a store that connects on its first call, so that the scheduler can start while Redis
     * is down.
     *
     * @param password the Redis password; empty for none
     * @param scheduler the name of this scheduler, which is a part of its keys
     */
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
    }

    @Override
    public List<Object> execute(List<? extends StoreOperation<?>> operations)
            throws StoreException {
        try (AbstractPipeline pipeline = redis.pipelined()) {
            RedisOperations commands = new RedisOperations(pipeline, scheduler);
            List<RedisOperations.PendingResult> pending = new ArrayList<>(operations.size());
            operations.forEach(operation -> pending.add(operation.accept(commands)));
            pipeline.sync();
            return new ArrayList<>(pending.stream().map(RedisStore::resultOrError).toList());
        } catch (JedisException e) {
            throw new StoreException("the store does not answer", e);
        }
    }

    /** Returns a result, or an exception: an error reply fails only the operation it belongs to. */
    private static Object resultOrError(RedisOperations.PendingResult pending) {
        try {
            return pending.get();
        } catch (StoreException e) {
            return e;
        } catch (JedisDataException | NumberFormatException e) {
            return new StoreException("the store returned an error: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        redis.close();
    }

    /**
     * Parses an address such as {@code redis://127.0.0.1:6379}; the port is optional.
     *
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static HostAndPort parseAddress(String url) {
        URI uri = URI.create(url);
        if (!"redis".equals(uri.getScheme()) || uri.getHost() == null) {
            throw new IllegalArgumentException("not a redis:// address: " + url);
        }
        return new HostAndPort(uri.getHost(), uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort());
    }
}
