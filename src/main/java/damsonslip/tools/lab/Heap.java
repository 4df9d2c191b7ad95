package damsonslip.tools.lab;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/**
 * Estimates the retained heap of an object as the difference of used heap, after garbage
 * collection, before and after its creation.
 */
final class Heap {
    private static final int COLLECTIONS = 2;

    private Heap() {}

    /**
     * Returns the kilobytes retained by the supplied object. The object is created once beforehand
     * so that buffers that libraries allocate on first use are not counted.
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
