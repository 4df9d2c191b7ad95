package damsonslip.tools.lab;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/**
 * Retained heap by difference: what is used after collections with the object, less what was used
 * before it was made.
 */
final class Heap {
    private static final int COLLECTIONS = 2;

    private Heap() {}

    /**
     * Kilobytes that stay reachable from what is made; it is made once before, so that libraries'
     * own buffers exist.
     */
    static double retainedKb(Supplier<?> make) {
        make.get();
        long before = used();
        Object kept = make.get();
        long after = used();
        Reference.reachabilityFence(kept);
        return Math.max(0, after - before) / 1024.0;
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
