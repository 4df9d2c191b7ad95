package damsonslip.engine;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.function.LongConsumer;

/**
 * A set of ids in memory of a fixed size, however long the ids are. An id is kept as a hash of 55
 * bits or more, which two ids share so rarely that this is not to be expected. If many more ids are
 * added than fit, the oldest ones are evicted.
 *
 * <p>It is a hash table with {@value #WAYS} entries for each bucket. An entry is a word that
 * consists of the rest of the hash and the time at which the id was added; 0 is an empty entry.
 * Entries are only changed by compare-and-set, so that several threads, or processes that map the
 * same memory, may add ids at the same time.
 *
 * <p>Times have 20 bits; their unit is the caller's choice. They repeat, so an entry seems new
 * again after 2^20 units.
 */
public final class IdTable {
    private static final int WAYS = 16;
    private static final int TIME_BITS = 20;
    private static final int TAG_BITS = Long.SIZE - TIME_BITS;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long EMPTY = 0;

    private static final VarHandle WORD =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private static final long HASH_OFFSET = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    private final int bucketBits;
    private final ByteBuffer table;
    private LongConsumer evictionListener = time -> {};

    /** Receives the entries of a table. */
    public interface EntryConsumer {
        /**
         * An entry of the table.
         *
         * @param key what {@link #keyOf(String)} returns for the id
         */
        void accept(long key, long time);
    }

    /** Creates an empty table of {@link #bytes} of this process's own memory. */
    public IdTable(int bucketBits) {
        this(bucketBits, ByteBuffer.allocateDirect(bytes(bucketBits)));
    }

    /**
     * Uses a table in memory that other processes may share.
     *
     * @param bucketBits the number of buckets is a power of two with this exponent
     * @param table a direct buffer of {@link #bytes}; empty if all bytes are 0
     */
    public IdTable(int bucketBits, ByteBuffer table) {
        this.bucketBits = bucketBits;
        this.table = table;
    }

    /** Returns the size of a table in bytes. */
    public static int bytes(int bucketBits) {
        return (WAYS << bucketBits) * Long.BYTES;
    }

    /** Sets the listener that receives the time of each entry that is evicted by another one. */
    public void onEviction(LongConsumer listener) {
        evictionListener = listener;
    }

    /**
     * Adds an id.
     *
     * @return whether it was not in the table; of several additions at the same time, one succeeds
     *     at the most
     */
    public boolean add(String id, long time) {
        return addKey(keyOf(id), time, time);
    }

    /**
     * Adds an id by its key.
     *
     * @param time the time of the entry
     * @param now the current time, which decides what are the oldest entries
     */
    public boolean addKey(long key, long time, long now) {
        int bucket = bucketOf(key);
        long tag = key << TIME_BITS;
        long word = tag | (time & TIME_MASK);
        while (true) {
            int oldest = 0;
            long oldestWord = EMPTY;
            long highestAge = -1;
            for (int way = 0; way < WAYS; way++) {
                long present = word(bucket, way);
                if (hasTag(present, tag)) {
                    return false;
                }
                long age = ageOf(present, now);
                if (age > highestAge) {
                    oldest = way;
                    oldestWord = present;
                    highestAge = age;
                }
            }
            if (WORD.compareAndSet(table, index(bucket, oldest), oldestWord, word)) {
                if (oldestWord != EMPTY) {
                    evictionListener.accept(now - highestAge);
                }
                return isOnlyEntry(bucket, tag, oldest);
            }
        }
    }

    /** Whether the id is in the table. */
    public boolean contains(String id) {
        long key = keyOf(id);
        return !isOnlyEntry(bucketOf(key), key << TIME_BITS, WAYS);
    }

    /** Returns the number of buckets. */
    public int buckets() {
        return 1 << bucketBits;
    }

    /**
     * Passes the entries of a bucket to a consumer.
     *
     * @param now the current time, from which the ages of the entries follow
     */
    public void forEachIn(int bucket, long now, EntryConsumer consumer) {
        for (int way = 0; way < WAYS; way++) {
            long word = word(bucket, way);
            if (word != EMPTY) {
                consumer.accept(keyOf(bucket, word), now - ageOf(word, now));
            }
        }
    }

    private static long ageOf(long word, long time) {
        return word == EMPTY ? Long.MAX_VALUE : (time - word) & TIME_MASK;
    }

    /** Whether no entry but the given one has this tag. */
    private boolean isOnlyEntry(int bucket, long tag, int ownWay) {
        for (int way = 0; way < WAYS; way++) {
            if (way != ownWay && hasTag(word(bucket, way), tag)) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasTag(long word, long tag) {
        return (word & ~TIME_MASK) == tag;
    }

    private long word(int bucket, int way) {
        return (long) WORD.getVolatile(table, index(bucket, way));
    }

    private static int index(int bucket, int way) {
        return (bucket * WAYS + way) * Long.BYTES;
    }

    /** Returns a number that identifies an id in tables with this number of buckets. */
    public long keyOf(String id) {
        long key = hash(id) >>> (TIME_BITS - bucketBits);
        boolean hasEmptyTag = (key << TIME_BITS) == EMPTY;
        return hasEmptyTag ? key | 1 : key;
    }

    private static long keyOf(int bucket, long word) {
        return ((long) bucket << TAG_BITS) | (word >>> TIME_BITS);
    }

    private static int bucketOf(long key) {
        return (int) (key >>> TAG_BITS);
    }

    /** FNV-1a with the final mixing step of SplitMix64. */
    private static long hash(String id) {
        long hash = HASH_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * HASH_PRIME;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
