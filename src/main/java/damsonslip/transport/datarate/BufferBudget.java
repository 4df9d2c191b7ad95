package damsonslip.transport.datarate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Bounds the bytes that all connections together keep buffered for peers that do not read them.
 * Over the bound, the connections that hold the most for the least progress are chosen to be
 * closed.
 */
public final class BufferBudget {
    /**
     * What one connection keeps buffered.
     *
     * @param connection the connection
     * @param bufferedBytes bytes that its peer has not read yet
     * @param bytesPerSecond the rate at which it has read them lately, in bytes a second
     */
    public record Usage<L>(L connection, long bufferedBytes, double bytesPerSecond) {
        /** The remaining time at the present rate, weighted by the bytes held. */
        private double weight() {
            return bufferedBytes * (bufferedBytes / (bytesPerSecond + 1));
        }
    }

    private BufferBudget() {}

    /**
     * Chooses the connections to close.
     *
     * @param maxBytes the bound on all buffered bytes together
     * @return connections in descending order of weight; none while the bound holds, and no more
     *     than needed
     */
    public static <L> List<L> chooseOverBudget(long maxBytes, List<Usage<L>> all) {
        long bufferedBytes = all.stream().mapToLong(Usage::bufferedBytes).sum();
        if (bufferedBytes <= maxBytes) {
            return List.of();
        }
        List<Usage<L>> heaviestFirst = new ArrayList<>(all);
        heaviestFirst.sort(Comparator.comparingDouble(Usage<L>::weight).reversed());
        List<L> chosen = new ArrayList<>();
        for (Usage<L> holding : heaviestFirst) {
            if (bufferedBytes <= maxBytes) {
                break;
            }
            bufferedBytes -= holding.bufferedBytes();
            chosen.add(holding.connection());
        }
        return chosen;
    }
}
