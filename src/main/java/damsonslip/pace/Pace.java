package damsonslip.pace;

/**
 * A peer's patience account in one direction. It opens with a grace, loses a microsecond with each that passes, and gains
 * what the bytes that moved are worth at the least rate; the peer is let go when it is empty. What it gains is bounded, so
 * that a peer that was fast once cannot hold a link for long, yet may pause. Beside a sliding window of counts this holds
 * two numbers a link instead of a ring, and a burst at just the least rate never falls between two slots.
 */
public final class Pace {
    /**
     * What a peer has to keep to.
     *
     * @param graceUs   how long it may do nothing at the start, in microseconds
     * @param windowUs  how much patience it may gather at the most, in microseconds; a pause of this length is the longest
     * @param bytesPerS the least rate, in bytes a second
     */
    public record Limits(long graceUs, long windowUs, double bytesPerS) {
        public Limits {
            if (graceUs <= 0 || windowUs < graceUs || !(bytesPerS > 0)) {
                throw new IllegalArgumentException("grace, window or rate: " + graceUs + " " + windowUs + " " + bytesPerS);
            }
        }

        /** What so many bytes are worth, in microseconds. */
        private long worthUs(long bytes) {
            return (long) (bytes / bytesPerS * 1e6);
        }
    }

    private final Limits limits;
    private boolean running;
    private long leftUs;
    private long atUs;
    private long moved;
    private long sinceUs;

    public Pace(Limits limits) {
        this.limits = limits;
    }

    /** Something is due from now on; nothing changes if it is already. */
    public void begin(long nowUs) {
        if (!running) {
            running = true;
            leftUs = limits.graceUs();
            sinceUs = nowUs;
            atUs = nowUs;
            moved = 0;
        }
    }

    /** The same for so many bytes whose progress cannot be seen: they have their whole time from the start. */
    public void begin(long nowUs, long bytes) {
        begin(nowUs);
        leftUs += limits.worthUs(bytes);
    }

    /** So many bytes have moved. */
    public void moved(long nowUs, long bytes) {
        if (running) {
            spend(nowUs);
            moved += bytes;
            // an account that is empty stays so: bytes that come after the verdict do not undo it
            leftUs = leftUs <= 0 ? leftUs : Math.min(Math.max(limits.windowUs(), leftUs), leftUs + limits.worthUs(bytes));
        }
    }

    /** Nothing is due any more. */
    public void end() {
        running = false;
    }

    /** Whether the peer is to be let go. */
    public boolean tooSlow(long nowUs) {
        if (running) {
            spend(nowUs);
        }
        return running && leftUs <= 0;
    }

    /** Bytes a second since something was due; 0 if nothing is. */
    public double rate(long nowUs) {
        return !running ? 0 : moved * 1e6 / Math.max(1, nowUs - sinceUs);
    }

    /** How long the peer may still do nothing, in microseconds; without end if nothing is due. */
    public long leftUs(long nowUs) {
        return running ? Math.max(0, leftUs - Math.max(0, nowUs - atUs)) : Long.MAX_VALUE;
    }

    /** A clock that steps back costs nothing. */
    private void spend(long nowUs) {
        leftUs -= Math.max(0, nowUs - atUs);
        atUs = nowUs;
    }
}
