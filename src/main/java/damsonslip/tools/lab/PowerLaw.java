package damsonslip.tools.lab;

import java.util.List;

/**
 * A least-squares line through the logarithms of size and value: {@code value = factor * size ^
 * exponent}.
 *
 * @param residual root mean square distance of the points from the line, as a factor: 1 is a
 *     perfect fit
 */
record PowerLaw(double factor, double exponent, double residual) {
    /**
     * Fits the points whose size and value are positive; returns null if they have fewer than two
     * distinct sizes.
     */
    static PowerLaw fit(List<Sample> points) {
        List<double[]> logs =
                points.stream()
                        .filter(point -> point.size() > 0 && point.value() > 0)
                        .map(
                                point ->
                                        new double[] {
                                            Math.log(point.size()), Math.log(point.value())
                                        })
                        .toList();
        double meanX = logs.stream().mapToDouble(log -> log[0]).average().orElse(0);
        double meanY = logs.stream().mapToDouble(log -> log[1]).average().orElse(0);
        double spread = logs.stream().mapToDouble(log -> square(log[0] - meanX)).sum();
        if (spread == 0) {
            return null;
        }
        double exponent =
                logs.stream().mapToDouble(log -> (log[0] - meanX) * (log[1] - meanY)).sum()
                        / spread;
        double offset = meanY - exponent * meanX;
        double distance =
                logs.stream()
                        .mapToDouble(log -> square(log[1] - offset - exponent * log[0]))
                        .average()
                        .orElse(0);
        return new PowerLaw(Math.exp(offset), exponent, Math.exp(Math.sqrt(distance)));
    }

    /** Returns the size at which the fitted line reaches a value. */
    double sizeAt(double value) {
        return Math.pow(value / factor, 1 / exponent);
    }

    private static double square(double x) {
        return x * x;
    }
}
