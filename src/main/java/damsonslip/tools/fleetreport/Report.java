package damsonslip.tools.fleetreport;

import damsonslip.tools.fleetreport.Second.Sum;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;

/**
 * A fleet's sums as text: a line for each second, the cuts of the pools, the cold workers, the
 * ledger of losses.
 */
public final class Report {
    private Report() {}

    public static String of(Fleet fleet) {
        StringBuilder text = new StringBuilder();
        say(
                text,
                "%d schedulers, %d workers, %d seconds%n",
                fleet.schedulers(),
                fleet.workers.size(),
                fleet.seconds.size());
        seconds(fleet, text);
        cuts(fleet, text);
        cold(fleet, text);
        ledger(fleet, text);
        return text.toString();
    }

    private static void say(StringBuilder text, String form, Object... what) {
        text.append(String.format(Locale.ROOT, form, what));
    }

    private static void seconds(Fleet fleet, StringBuilder text) {
        say(text, "%n%8s %8s %9s %6s", "second", "serving", "list-age", "crowd");
        for (Sum sum : Sum.values()) {
            say(
                    text,
                    " %" + width(sum) + "s",
                    sum.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
        text.append(System.lineSeparator());
        long first = fleet.seconds.keySet().stream().findFirst().orElse(0L);
        fleet.seconds.forEach(
                (at, second) -> {
                    say(
                            text,
                            "%8d %8d %9.1f %6d",
                            at - first,
                            second.serving.size(),
                            second.oldestListUs / 1e6,
                            second.crowd);
                    for (Sum sum : Sum.values()) {
                        say(text, " %" + width(sum) + "d", second.get(sum));
                    }
                    text.append(System.lineSeparator());
                });
    }

    private static int width(Sum sum) {
        return Math.max(6, sum.name().length());
    }

    private static void cuts(Fleet fleet, StringBuilder text) {
        say(
                text,
                "%npools: the part of their workers that all schedulers count to them; rates,"
                        + " shares: least to most%n");
        long first = fleet.seconds.keySet().stream().findFirst().orElse(0L);
        fleet.seconds.forEach(
                (at, second) -> {
                    if (!second.cuts.isEmpty()) {
                        say(text, "%8d", at - first);
                        second.cuts.forEach(
                                (pool, cut) ->
                                        say(
                                                text,
                                                "  [%s alike %.2f rate %.0f-%.0f share %.0f-%.0f]",
                                                pool,
                                                cut.alike(),
                                                cut.leastRate,
                                                cut.mostRate,
                                                cut.leastShare,
                                                cut.mostShare));
                        text.append(System.lineSeparator());
                    }
                });
    }

    /**
     * Work is in slots: a worker kept busy on three slots for a window has 3. Behind it, what all
     * took for theirs.
     */
    private static void cold(Fleet fleet, StringBuilder text) {
        say(
                text,
                "%ncold workers: jobs, late ones, and for each window of %.1f s work begun/budget"
                        + " seen by schedulers (slots; the rule: %.2f)%n",
                fleet.fallUs / 1e6,
                fleet.fallMultiple);
        fleet.workers.forEach(
                (id, worker) -> {
                    if (worker.coldJobs > 0) {
                        say(text, "  %s jobs %d late %d:", id, worker.coldJobs, worker.coldLate);
                        worker.coldWork.forEach(
                                (window, work) -> {
                                    Map<String, Double> parts =
                                            worker.coldParts.getOrDefault(window, Map.of());
                                    say(
                                            text,
                                            " %d=%.1f/%.1f by %d",
                                            window,
                                            work / fleet.fallUs,
                                            parts.values().stream().mapToDouble(part -> part).sum()
                                                    / fleet.fallUs,
                                            parts.size());
                                });
                        text.append(System.lineSeparator());
                    }
                });
    }

    private static void ledger(Fleet fleet, StringBuilder text) {
        say(
                text,
                "%nworth offered %.0f, earned %.0f; lost, by reason%n",
                fleet.offered,
                fleet.earned);
        fleet.worth.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .forEach(
                        loss ->
                                say(
                                        text,
                                        "%8.0f %5.1f%% %6d  %s%n",
                                        loss.getValue(),
                                        100 * loss.getValue() / Math.max(1e-9, fleet.offered),
                                        fleet.losses.get(loss.getKey()),
                                        loss.getKey()));
    }
}
