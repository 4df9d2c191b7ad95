package damsonslip.platform.worker;

/**
 * How likely a kept server link is to break under its next execution, by the time that it has been
 * idle, as seen lately. Guards against workers, or what lies between, that drop idle links long
 * before the limit in the settings and tell nobody: such a link looks open, and what is written to
 * it may have run as far as anybody can prove.
 */
final class IdleConnectionRisk {
    /** The first ages are up to this long, each next ones up to twice as long. */
    private static final long SHORTEST_US = 25_000;

    private static final int AGES = 11;

    /** Weight of the newest case. */
    private static final double WEIGHT = 0.1;

    /**
     * What was seen fades by this part at each look, or an age once given up would never be tried
     * again.
     */
    private static final double FADE = 0.015;

    /**
     * A lost query costs far more than a new link; one that may be sent again costs little more.
     */
    private static final double MOST_RISK_ONCE = 0.015;

    private static final double MOST_RISK = 0.12;

    private final double[] broken = new double[AGES];

    private static int age(long idleUs) {
        int age = 0;
        while (age < AGES - 1 && idleUs > SHORTEST_US << age) {
            age++;
        }
        return age;
    }

    /**
     * A link that had been idle for this long has carried its next execution, or has broken under
     * it.
     */
    public void seen(long idleUs, boolean broke) {
        int age = age(idleUs);
        broken[age] += WEIGHT * ((broke ? 1 : 0) - broken[age]);
    }

    /**
     * Whether a link may be used that has been idle for this long; one that is older is at least as
     * risky.
     */
    public boolean serves(long idleUs, boolean onceOnly) {
        double risk = 0;
        for (int age = 0; age <= age(idleUs); age++) {
            risk = Math.max(risk, broken[age]);
        }
        return risk <= (onceOnly ? MOST_RISK_ONCE : MOST_RISK);
    }

    /** Time passes; called evenly, about twice a second. */
    public void fade() {
        for (int age = 0; age < AGES; age++) {
            broken[age] *= 1 - FADE;
        }
    }
}
