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
 * Stores jobs in Redis: each has a key with its record and one with its body, which several
 * schedulers share, and each scheduler has the set of its open jobs. Operations that are executed
 * together go out in one pipeline. Thread-safe.
 */
public final class RedisStore implements JobStore {
    /** A store on the same network that takes longer counts as down. */
    private static final int TIMEOUT_MS = 500;

    private static final int DEFAULT_PORT = 6379;

    private final RedisClient redis;
    private final String scheduler;

    /**
     * Creates a store that connects at its first call, so that the scheduler starts while Redis is
     * down.
     *
     * @param password the password of Redis; empty for none
     * @param scheduler the name of this scheduler, part of its keys
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

    /** An error reply to one command fails only the operation that it belongs to. */
    private static Object resultOrError(RedisOperations.PendingResult pending) {
        try {
            return pending.get();
        } catch (StoreException e) {
            return e;
        } catch (JedisDataException | NumberFormatException e) {
            return new StoreException("the store refuses: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        redis.close();
    }

    /**
     * Parses an address such as {@code redis://127.0.0.1:6379}; the port may be left out.
     *
     * @throws IllegalArgumentException if it is not of this form
     */
    public static HostAndPort parseAddress(String url) {
        URI uri = URI.create(url);
        if (!"redis".equals(uri.getScheme()) || uri.getHost() == null) {
            throw new IllegalArgumentException("not a redis:// address: " + url);
        }
        return new HostAndPort(uri.getHost(), uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort());
    }
}
