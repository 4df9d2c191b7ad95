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
        Object first = make.get();
        Reference.reachabilityFence(first);
        first = null;
        long before = used();
        Object retained = make.get();
        try {
            return Math.max(0, used() - before) / 1024.0;
        } finally {
            Reference.reachabilityFence(retained);
        }
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
