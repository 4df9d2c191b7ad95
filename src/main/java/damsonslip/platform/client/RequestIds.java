package damsonslip.platform.client;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Remembers the ids of the latest requests, so that no id is served twice. The memory has a fixed
 * size however long the ids are: an id is kept as a hash of 55 bits, which two ids share so rarely
 * that a wrong rejection is not to be expected. The oldest ids are forgotten first, once there are
 * many more than can arrive within the longest deadline.
 *
 * <p>The table is a hash table with {@value #WAYS} entries for each bucket. An entry is a word that
 * consists of the rest of the hash and the time at which the id was claimed; 0 is an empty entry.
 * Entries are only changed by compare-and-set, so that several threads, or processes that map the
 * same memory, may claim ids at the same time.
 */
public final class RequestIds {
    private static final int BUCKET_BITS = 11;
    private static final int WAYS = 16;
    private static final int TIME_BITS = 20;

    /** The resolution of the times is 2^20 ns, about a millisecond. */
    private static final int TIME_SHIFT = 20;

    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long TAG_MASK = ~TIME_MASK;
    private static final long EMPTY = 0;

    /** The size of the table in bytes: 32,768 entries. */
    public static final int TABLE_BYTES = (WAYS << BUCKET_BITS) * Long.BYTES;

    private static final VarHandle WORD =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private static final long HASH_OFFSET = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    private final ByteBuffer table;

    /** Creates an empty table in this process's own memory. */
    public RequestIds() {
        this(ByteBuffer.allocateDirect(TABLE_BYTES));
    }

    /**
     * Uses a table in memory that other processes may share.
     *
     * @param table a direct buffer of {@link #TABLE_BYTES}
     */
    RequestIds(ByteBuffer table) {
        this.table = table;
    }

    /**
     * Claims an id for one request.
     *
     * @return whether it had not been claimed before; of claims that are made at the same time one
     *     succeeds at the most
     */
    boolean claim(String id) {
        long hash = hash(id);
        int bucket = (int) (hash >>> (Long.SIZE - BUCKET_BITS));
        return insert(bucket, tagOf(hash), System.nanoTime() >>> TIME_SHIFT);
    }

    private static long tagOf(long hash) {
        long tag = (hash << BUCKET_BITS) & TAG_MASK;
        return tag == EMPTY ? 1L << TIME_BITS : tag;
    }

    private boolean insert(int bucket, long tag, long time) {
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
                long age = ageOf(present, time);
                if (age > highestAge) {
                    oldest = way;
                    oldestWord = present;
                    highestAge = age;
                }
            }
            if (WORD.compareAndSet(table, index(bucket, oldest), oldestWord, word)) {
                return isOnlyEntry(bucket, tag, oldest);
            }
        }
    }

    /** The age of an entry; the times repeat, so an entry that is 18 minutes old seems new. */
    private static long ageOf(long word, long time) {
        return word == EMPTY ? Long.MAX_VALUE : (time - word) & TIME_MASK;
    }

    /** Whether nobody has inserted the same id into another entry meanwhile. */
    private boolean isOnlyEntry(int bucket, long tag, int ownWay) {
        for (int way = 0; way < WAYS; way++) {
            if (way != ownWay && hasTag(word(bucket, way), tag)) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasTag(long word, long tag) {
        return (word & TAG_MASK) == tag;
    }

    private long word(int bucket, int way) {
        return (long) WORD.getVolatile(table, index(bucket, way));
    }

    private static int index(int bucket, int way) {
        return (bucket * WAYS + way) * Long.BYTES;
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
