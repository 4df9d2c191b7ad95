package damsonslip.tools.lab.soak;

/** Monotonic time in microseconds. */
final class Clock {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;

    private Clock() {}

    static long nowUs() {
        return System.nanoTime() / 1_000;
    }

    static void sleepUs(long us) throws InterruptedException {
        if (us > 0) {
            Thread.sleep(us / MILLISECOND, (int) (us % MILLISECOND) * 1_000);
        }
    }
}
