package damsonslip.tools.lab;

import damsonslip.tools.lab.Sample.Axis;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Computes tables of how each measure grows along each axis. The result depends on the samples
 * only: the same samples give the same lines.
 */
final class SlopeReport {
    /** A cost with a smaller exponent is treated as constant. */
    private static final double MIN_GROWTH_EXPONENT = 0.05;

    /** Largest extrapolation, as a multiple of the largest measured size. */
    private static final double MAX_EXTRAPOLATION = 10;

    /** Measures of a real process and the corresponding measures of the simulated scheduler. */
    private static final Measure[][] PAIRS = {
        {Measure.PROCESS_IDLE, Measure.CONTROL_SHARE},
        {Measure.PROCESS_CHANGE_CPU, Measure.CHANGE_CPU},
        {Measure.PROCESS_HEAP, Measure.LIST_AND_POLICY_HEAP}
    };

    private record Series(Measure measure, Axis axis) {}

    private record Shortfall(double size, String line) {}

    private SlopeReport() {}

    static List<String> lines(List<Sample> samples) {
        Map<Series, List<Sample>> series =
                samples.stream()
                        .collect(
                                Collectors.groupingBy(
                                        sample -> new Series(sample.measure(), sample.axis()),
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| role | measure | axis | points (size: value) | unit | exponent |"
                                        + " residual |",
                                "| --- | --- | --- | --- | --- | --- | --- |"));
        series.forEach((key, points) -> lines.add(row(key, points)));
        List<Shortfall> shortfalls = shortfalls(series);
        if (!shortfalls.isEmpty()) {
            lines.addAll(
                    List.of(
                            "",
                            "| falls short at | axis | role | measure | budget | at the largest"
                                    + " size |",
                            "| --- | --- | --- | --- | --- | --- |"));
            shortfalls.forEach(shortfall -> lines.add(shortfall.line()));
        }
        List<String> ratios = ratios(series);
        if (!ratios.isEmpty()) {
            lines.addAll(
                    List.of(
                            "",
                            "| real measure | workers | real | hollow | real / hollow |",
                            "| --- | --- | --- | --- | --- |"));
            lines.addAll(ratios);
        }
        return lines;
    }

    /** Compares the growth from the smallest size in real processes with that in the simulation. */
    private static List<String> ratios(Map<Series, List<Sample>> series) {
        List<String> lines = new ArrayList<>();
        for (Measure[] pair : PAIRS) {
            Map<Long, Double> hollow =
                    series.getOrDefault(new Series(pair[1], Axis.WORKERS), List.of()).stream()
                            .collect(
                                    Collectors.toMap(
                                            Sample::size, Sample::value, (one, other) -> other));
            List<Sample> real =
                    series.getOrDefault(new Series(pair[0], Axis.WORKERS), List.of()).stream()
                            .filter(sample -> hollow.containsKey(sample.size()))
                            .toList();
            for (int i = 1; i < real.size(); i++) {
                double grown = real.get(i).value() - real.get(0).value();
                double expected = hollow.get(real.get(i).size()) - hollow.get(real.get(0).size());
                lines.add(
                        "| "
                                + pair[0].label
                                + ", above that of "
                                + real.get(0).size()
                                + " | "
                                + real.get(i).size()
                                + " | "
                                + shortNumber(grown)
                                + " | "
                                + shortNumber(expected)
                                + " | "
                                + twoDecimals(grown / expected)
                                + " |");
            }
        }
        return lines;
    }

    private static String row(Series key, List<Sample> points) {
        PowerLaw law = PowerLaw.fit(points);
        String values =
                points.stream()
                        .map(point -> point.size() + ": " + shortNumber(point.value()))
                        .collect(Collectors.joining(", "));
        return "| "
                + key.measure.role
                + " | "
                + key.measure.label
                + " | "
                + key.axis.name().toLowerCase(Locale.ROOT)
                + " | "
                + values
                + " | "
                + key.measure.unit
                + " | "
                + (law == null ? "-" : twoDecimals(law.exponent()))
                + " | "
                + (law == null ? "-" : twoDecimals(law.residual()))
                + " |";
    }

    /** Lists the sizes at which costs exceed their budgets, the smallest size first. */
    private static List<Shortfall> shortfalls(Map<Series, List<Sample>> series) {
        List<Shortfall> found = new ArrayList<>();
        series.forEach(
                (key, points) -> {
                    if (!Double.isNaN(key.measure.budget)) {
                        Sample last = points.get(points.size() - 1);
                        double size = sizeAtBudget(key.measure.budget, points);
                        String text =
                                Double.isInfinite(size)
                                        ? "not in sight"
                                        : "some " + Math.round(size);
                        found.add(
                                new Shortfall(
                                        size,
                                        "| "
                                                + text
                                                + " | "
                                                + key.axis.name().toLowerCase(Locale.ROOT)
                                                + " | "
                                                + key.measure.role
                                                + " | "
                                                + key.measure.label
                                                + " | "
                                                + shortNumber(key.measure.budget)
                                                + " "
                                                + key.measure.unit
                                                + " | "
                                                + shortNumber(last.value())
                                                + " at "
                                                + last.size()
                                                + ", "
                                                + shortNumber(last.value() / key.measure.budget)
                                                + " of the budget |"));
                    }
                });
        found.sort(Comparator.comparingDouble(Shortfall::size));
        return found;
    }

    /**
     * Returns the size at which a cost reaches its budget: interpolated between the two points
     * around it, or extrapolated from the last two points if the cost grows; otherwise infinity. If
     * the first point already exceeds the budget, its size is returned.
     */
    private static double sizeAtBudget(double budget, List<Sample> points) {
        for (int i = 1; i < points.size(); i++) {
            Sample before = points.get(i - 1);
            if (before.value() <= budget && points.get(i).value() > budget) {
                return PowerLaw.fit(points.subList(i - 1, i + 1)).sizeAt(budget);
            }
        }
        if (points.get(0).value() > budget) {
            return points.get(0).size();
        }
        PowerLaw law = PowerLaw.fit(points.subList(Math.max(0, points.size() - 2), points.size()));
        double size =
                law == null || law.exponent() < MIN_GROWTH_EXPONENT
                        ? Double.POSITIVE_INFINITY
                        : law.sizeAt(budget);
        return size > MAX_EXTRAPOLATION * points.get(points.size() - 1).size()
                ? Double.POSITIVE_INFINITY
                : size;
    }

    private static String shortNumber(double value) {
        return Sample.number(Double.parseDouble(String.format(Locale.ROOT, "%.3g", value)));
    }

    private static String twoDecimals(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
