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
     * @param link the connection
     * @param waiting bytes that its peer has not read yet
     * @param rate the rate at which it has read them lately, in bytes a second
     */
    public record Holding<L>(L link, long waiting, double rate) {
        /** The remaining time at the present rate, weighted by the bytes held. */
        private double weight() {
            return waiting * (waiting / (rate + 1));
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
    public static <L> List<L> over(long maxBytes, List<Holding<L>> all) {
        long bufferedBytes = all.stream().mapToLong(Holding::waiting).sum();
        if (bufferedBytes <= maxBytes) {
            return List.of();
        }
        List<Holding<L>> heaviestFirst = new ArrayList<>(all);
        heaviestFirst.sort(Comparator.comparingDouble(Holding<L>::weight).reversed());
        List<L> chosen = new ArrayList<>();
        for (Holding<L> holding : heaviestFirst) {
            if (bufferedBytes <= maxBytes) {
                break;
            }
            bufferedBytes -= holding.waiting();
            chosen.add(holding.link());
        }
        return chosen;
    }
}
