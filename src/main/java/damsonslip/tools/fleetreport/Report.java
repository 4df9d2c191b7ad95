package damsonslip.tools.fleetreport;

import damsonslip.tools.fleetreport.Second.Sum;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;

/**
 * Formats the totals of a fleet as text: a line for each second, the pools, the workers in slow
 * start, and the lost priority weight by reason.
 */
public final class Report {
    private Report() {}

    /** Returns the report over all lines added to a fleet. */
    public static String of(Fleet fleet) {
        StringBuilder text = new StringBuilder();
        print(
                text,
                "%d schedulers, %d workers, %d seconds%n",
                fleet.schedulers(),
                fleet.workers.size(),
                fleet.seconds.size());
        seconds(fleet, text);
        pools(fleet, text);
        slowStart(fleet, text);
        losses(fleet, text);
        return text.toString();
    }

    private static void print(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments));
    }

    private static void seconds(Fleet fleet, StringBuilder text) {
        print(text, "%n%8s %8s %9s %6s", "second", "serving", "list-age", "crowd");
        for (Sum sum : Sum.values()) {
            print(
                    text,
                    " %" + columnWidth(sum) + "s",
                    sum.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
        text.append(System.lineSeparator());
        long first = fleet.seconds.keySet().stream().findFirst().orElse(0L);
        fleet.seconds.forEach(
                (at, second) -> {
                    print(
                            text,
                            "%8d %8d %9.1f %6d",
                            at - first,
                            second.schedulers.size(),
                            second.maxListAgeUs / 1e6,
                            second.maxRetryBurst);
                    for (Sum sum : Sum.values()) {
                        print(text, " %" + columnWidth(sum) + "d", second.get(sum));
                    }
                    text.append(System.lineSeparator());
                });
    }

    private static int columnWidth(Sum sum) {
        return Math.max(6, sum.name().length());
    }

    private static void pools(Fleet fleet, StringBuilder text) {
        print(
                text,
                "%npools: the part of their workers that all schedulers count to them; rates,"
                        + " shares: least to most%n");
        long first = fleet.seconds.keySet().stream().findFirst().orElse(0L);
        fleet.seconds.forEach(
                (at, second) -> {
                    if (!second.pools.isEmpty()) {
                        print(text, "%8d", at - first);
                        second.pools.forEach(
                                (pool, state) ->
                                        print(
                                                text,
                                                "  [%s alike %.2f rate %.0f-%.0f share %.0f-%.0f]",
                                                pool,
                                                state.agreement(),
                                                state.minRate,
                                                state.maxRate,
                                                state.minShare,
                                                state.maxShare));
                        text.append(System.lineSeparator());
                    }
                });
    }

    /**
     * Prints the workers in slow start. Work is given as the mean number of busy slots: a worker
     * with three slots busy during a complete window has 3. It is followed by the total of the
     * schedulers' budgets, each as that scheduler computed it, and by the number of schedulers.
     */
    private static void slowStart(Fleet fleet, StringBuilder text) {
        print(
                text,
                "%ncold workers: jobs, late ones, and for each window of %.1f s work begun/budget"
                        + " seen by schedulers (slots; the rule: %.2f)%n",
                fleet.overloadWindowUs / 1e6,
                fleet.overloadFactor);
        fleet.workers.forEach(
                (id, worker) -> {
                    if (worker.slowStartJobs > 0) {
                        print(
                                text,
                                "  %s jobs %d late %d:",
                                id,
                                worker.slowStartJobs,
                                worker.slowStartLate);
                        worker.slowStartWork.forEach(
                                (window, work) -> {
                                    Map<String, Double> budgets =
                                            worker.slowStartBudgets.getOrDefault(window, Map.of());
                                    print(
                                            text,
                                            " %d=%.1f/%.1f by %d",
                                            window,
                                            work / fleet.overloadWindowUs,
                                            budgets.values().stream()
                                                            .mapToDouble(budget -> budget)
                                                            .sum()
                                                    / fleet.overloadWindowUs,
                                            budgets.size());
                                });
                        text.append(System.lineSeparator());
                    }
                });
    }

    private static void losses(Fleet fleet, StringBuilder text) {
        print(
                text,
                "%nworth offered %.0f, earned %.0f; lost, by reason%n",
                fleet.offeredWeight,
                fleet.earnedWeight);
        fleet.lostWeight.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .forEach(
                        loss ->
                                print(
                                        text,
                                        "%8.0f %5.1f%% %6d  %s%n",
                                        loss.getValue(),
                                        100 * loss.getValue() / Math.max(1e-9, fleet.offeredWeight),
                                        fleet.losses.get(loss.getKey()),
                                        loss.getKey()));
    }
}
