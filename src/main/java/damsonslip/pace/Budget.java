package damsonslip.pace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What all links together may keep waiting for peers that do not take it; of more, some have to go. */
public final class Budget {
    /**
     * What one link holds.
     *
     * @param waiting bytes that its peer has yet to take
     * @param rate    bytes a second that it has taken of them lately
     */
    public record Holding<L>(L link, long waiting, double rate) {
        /** How long it would go on like this, weighed by what it holds: the most for the least progress. */
        private double weight() {
            return waiting * (waiting / (rate + 1));
        }
    }

    private Budget() { }

    /** Who goes so that the others hold so many bytes at the most. */
    public static <L> List<L> over(long most, List<Holding<L>> all) {
        long held = all.stream().mapToLong(Holding::waiting).sum();
        if (held <= most) {
            return List.of();
        }
        List<L> gone = new ArrayList<>();
        for (Holding<L> next : all.stream().sorted(Comparator.comparingDouble(Holding<L>::weight).reversed()).toList()) {
            if (held > most) {
                held -= next.waiting();
                gone.add(next.link());
            }
        }
        return gone;
    }
}
