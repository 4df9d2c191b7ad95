package damsonslip.platform.client;

import damsonslip.engine.IdTable;
import java.nio.ByteBuffer;

/**
 * Remembers the ids of the latest requests, so that no id is served twice: 32,768 of them, many
 * more than can arrive within the longest deadline.
 */
public final class RequestIds {
    private static final int BUCKET_BITS = 11;

    /** The resolution of the times is 2^20 ns, about a millisecond. */
    private static final int TIME_SHIFT = 20;

    /** The size of the memory that holds them, in bytes. */
    public static final int TABLE_BYTES = IdTable.bytes(BUCKET_BITS);

    private final IdTable table;

    /** Remembers ids in this process's own memory. */
    public RequestIds() {
        this(ByteBuffer.allocateDirect(TABLE_BYTES));
    }

    /**
     * Uses memory that other processes may share.
     *
     * @param memory a direct buffer of {@link #TABLE_BYTES}
     */
    RequestIds(ByteBuffer memory) {
        this.table = new IdTable(BUCKET_BITS, memory);
    }

    /**
     * Claims an id for one request.
     *
     * @return whether it had not been claimed before; of claims that are made at the same time one
     *     succeeds at the most
     */
    boolean claim(String id) {
        return table.add(id, System.nanoTime() >>> TIME_SHIFT);
    }
}
