package damsonslip.transport.datarate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Bounds the total number of bytes that all connections buffer for peers that do not read them.
 * Above the bound, the connections with the most buffered bytes and the least progress are chosen
 * to be closed.
 */
public final class BufferBudget {
    /**
     * The buffer use of one connection.
     *
     * @param connection the connection
     * @param bufferedBytes bytes that its peer has not read yet
     * @param bytesPerSecond the rate at which its peer has read recently, in bytes per second
     */
    public record Usage<L>(L connection, long bufferedBytes, double bytesPerSecond) {
        /** The time to write the buffered bytes at the current rate, weighted by their number. */
        private double weight() {
            return bufferedBytes * (bufferedBytes / (bytesPerSecond + 1));
        }
    }

    private BufferBudget() {}

    /**
     * Chooses the connections to close.
     *
     * @param maxBytes the bound on all buffered bytes together
     * @return connections in descending order of weight: none while the total is within the bound,
     *     and otherwise no more than needed to get below it
     */
    public static <L> List<L> chooseOverBudget(long maxBytes, List<Usage<L>> all) {
        long bufferedBytes = all.stream().mapToLong(Usage::bufferedBytes).sum();
        if (bufferedBytes <= maxBytes) {
            return List.of();
        }
        List<Usage<L>> heaviestFirst = new ArrayList<>(all);
        heaviestFirst.sort(Comparator.comparingDouble(Usage<L>::weight).reversed());
        List<L> chosen = new ArrayList<>();
        for (Usage<L> usage : heaviestFirst) {
            if (bufferedBytes <= maxBytes) {
                break;
            }
            bufferedBytes -= usage.bufferedBytes();
            chosen.add(usage.connection());
        }
        return chosen;
    }
}
