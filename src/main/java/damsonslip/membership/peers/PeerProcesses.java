package damsonslip.membership.peers;

import java.util.List;

/**
 * The position of this process among the live processes of one scheduler instance. There is more
 * than one process only during an upgrade, when the new process runs alongside the old one.
 *
 * <p>Capacity is divided so that all processes together never use more than one scheduler would.
 * Every process that may send requests counts as a scheduler of its own, and every other scheduler
 * of the deployment is assumed to consist of as many processes. With n schedulers and two processes
 * here, each process acts as one of 2n: its arrival rate is taken to be 1/2n of the total, its
 * quota of an admission threshold is K/2n, its part of the slow-start budget of a worker is 1/2n in
 * a turn of its own, and its connection limit is halved. The new process uses the divided capacity
 * from its start; the old one does so once the new one has announced that it is about to serve. In
 * between some capacity is unused.
 *
 * <p>Immutable and free of I/O.
 *
 * @param hasSuccessor whether a newer process is serving
 * @param processes number of processes that share this scheduler's capacity, including this one; at
 *     least 1
 * @param index index of this process among them, from 0, oldest first
 */
public record PeerProcesses(boolean hasSuccessor, int processes, int index) {
    /** The position of a process without other live processes. */
    public static final PeerProcesses ALONE = new PeerProcesses(false, 1, 0);

    /**
     * Another live process of this scheduler.
     *
     * @param number the number of its lock file; a newer process has a higher one
     * @param serving whether it has announced that it is serving
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
