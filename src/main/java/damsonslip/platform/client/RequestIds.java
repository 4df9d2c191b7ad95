package damsonslip.platform.client;

import damsonslip.admin.upgrade.UpgradeCoordinator;
import damsonslip.engine.IdTable;
import java.nio.ByteBuffer;

/**
 * Remembers the ids of the latest requests, so that no id is served twice: 65,536 of them, many
 * more than can arrive within the longest deadline. During an upgrade two processes accept requests
 * at one address; they share these ids, since clients do not choose which process they reach. Used
 * on the event loop only.
 */
public final class RequestIds implements UpgradeCoordinator.SharedMemoryUser {
    private static final int BUCKET_BITS = 12;

    /** The resolution of the times is 2^20 ns, about a millisecond. */
    private static final int TIME_SHIFT = 20;

    /** The ids of this process. */
    private final IdTable own = new IdTable(BUCKET_BITS);

    /** The ids of all processes, or null if there is only one. */
    private IdTable shared;

    private static long now() {
        return System.nanoTime() >>> TIME_SHIFT;
    }

    /**
     * Claims an id for one request.
     *
     * @return whether it had not been claimed before, by any process; of claims that are made at
     *     the same time one succeeds at the most
     */
    boolean claim(String id) {
        boolean isNew = own.add(id, now());
        return isNew && (shared == null || shared.add(id, now()));
    }

    @Override
    public int bytes() {
        return IdTable.bytes(BUCKET_BITS);
    }

    /** Shares the ids with other processes from now on, also those of earlier requests. */
    @Override
    public void share(ByteBuffer memory) {
        shared = new IdTable(BUCKET_BITS, memory);
        for (int bucket = 0; bucket < own.buckets(); bucket++) {
            own.forEachIn(bucket, now(), (key, time) -> shared.addKey(key, time, now()));
        }
    }
}
