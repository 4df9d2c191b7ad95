package damsonslip.kin;

import java.util.List;

/**
 * How this process stands among those of the same scheduler that live now.
 *
 * <p>The rule of division: each process that may send counts as a scheduler of its own, and so do all others of the
 * site, as though each had as many. With n schedulers and two processes here, each of the two takes itself for one of
 * 2n: its arrivals tell of 2n such parts, its share of a threshold is K/2n, its part of a cold worker's budget 1/2n in a
 * turn of its own, and its room for connections half. The newcomer divides from its first moment, before it serves; the
 * older one from the newcomer's word that it is about to. What nobody uses in that time is lost, which is what makes the
 * rule safe: together they never take more than one would.
 *
 * @param succeeded whether a younger one serves
 * @param processes how many divide what belongs to one scheduler, this one among them
 * @param index     this one's number among them, the oldest first
 */
public record Kin(boolean succeeded, int processes, int index) {
    /** The only process there is. */
    public static final Kin ALONE = new Kin(false, 1, 0);

    /** Another process that lives. */
    public record Other(int number, boolean serving) { }

    /** How a process stands that came with this number, among the others. */
    public static Kin of(int number, List<Other> others) {
        int before = (int) others.stream().filter(other -> other.number() < number).count();
        int after = (int) others.stream().filter(other -> other.number() > number && other.serving()).count();
        return new Kin(after > 0, before + 1 + after, before);
    }
}
