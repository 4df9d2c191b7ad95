package damsonslip.membership.peers;

import java.util.List;

/**
 * The live processes of one scheduler instance as this process sees them. There is more than one
 * only during an upgrade, when the new process runs beside the old one.
 *
 * <p>Capacity is divided so that all processes together never use more than one scheduler would.
 * Every process that may send requests counts as a scheduler of its own, and every other scheduler
 * of the site is assumed to be split into as many. With n schedulers and two processes here, each
 * process acts as one of 2n: its arrival rate is taken for 1/2n of the total, its quota of an
 * admission threshold is K/2n, its part of a cold worker's budget is 1/2n in a turn of its own, and
 * its limit on connections is half. The new process divides from its start; the old one divides
 * once the new one has announced that it is about to serve. In between some capacity is unused.
 *
 * <p>Immutable and free of I/O.
 *
 * @param hasSuccessor whether a younger process serves
 * @param processes how many processes share this scheduler's capacity, this one included; at least
 *     1
 * @param index this process's position among them, from 0, the oldest first
 */
public record PeerProcesses(boolean hasSuccessor, int processes, int index) {
    /** No other process is alive. */
    public static final PeerProcesses ALONE = new PeerProcesses(false, 1, 0);

    /**
     * Another live process of this scheduler.
     *
     * @param number the number of its lock file; a younger process has a higher one
     * @param serving whether it has announced that it serves
     */
    public record Peer(int number, boolean serving) {}

    /**
     * Derives the position of the process that holds the lock file with the given number.
     *
     * @param number the number of this process's lock file
     * @param others the other live processes; older ones count even before they serve
     */
    public static PeerProcesses of(int number, List<Peer> others) {
        int older = (int) others.stream().filter(other -> other.number() < number).count();
        int newerServing =
                (int)
                        others.stream()
                                .filter(other -> other.number() > number && other.serving())
                                .count();
        return new PeerProcesses(newerServing > 0, older + 1 + newerServing, older);
    }
}
