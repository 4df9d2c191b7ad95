package damsonslip.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the threshold search with figure 1 of the paper and with a direct summation. */
class AdmissionThresholdTest {
    private static final double FINE = 1e-12;

    @ParameterizedTest
    @CsvSource({"10, 7.5, 19", "7, 5, 14", "13, 10, 24", "4, 2, 9", "16, 13, 28"})
    void matchesFigure1OfThePaper(int n, double load, int k) {
        assertEquals(k, AdmissionThreshold.search(n, load, 1, 2, 100, AdmissionThreshold.EPSILON));
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5, 2", "1, 2, 3", "2, 1.5, 1.5", "3, 2, 2.5", "5, 8, 2", "8, 6, 3"})
    void matchesDirectSummation(int n, double load, double q) {
        int found = AdmissionThreshold.search(n, load, 1, q, 1, FINE);
        double at = revenue(n, load, q, found);
        assertTrue(at >= revenue(n, load, q, found - 1), "K is no worse than K - 1");
        assertTrue(at + 1e-9 * load >= revenue(n, load, q, found + 1), "K is no worse than K + 1");
    }

    @Test
    void staysFiniteForLargePoolsAndOverload() {
        int k = AdmissionThreshold.search(2000, 5000, 1, 3, 1, AdmissionThreshold.EPSILON);
        assertTrue(k >= 2000 && k <= 16001, "K = " + k);
        assertTrue(AdmissionThreshold.search(1, 1e6, 1, 2, 1, AdmissionThreshold.EPSILON) >= 1);
        assertEquals(3, AdmissionThreshold.search(3, 0, 1, 2, 1, AdmissionThreshold.EPSILON));
    }

    private static double revenue(int n, double load, double q, int k) {
        double[] p = new double[k + 1];
        p[0] = 1;
        double norm = 1;
        for (int j = 1; j <= k; j++) {
            p[j] = p[j - 1] * load / Math.min(j, n);
            norm += p[j];
        }
        double v = 0;
        for (int j = 0; j < k; j++) {
            v += p[j] / norm * (1 - lateProbability(n, j, q));
        }
        return load * v;
    }

    /** P(W_j > q) by numeric convolution of the waiting time's density with the service time. */
    private static double lateProbability(int n, int j, double q) {
        double ownServiceLate = Math.exp(-q);
        if (j < n) {
            return ownServiceLate;
        }
        int ahead = j - n + 1;
        double factorial = 1;
        for (int i = 2; i < ahead; i++) {
            factorial *= i;
        }
        int steps = 20_000;
        double h = q / steps;
        double inTime = 0;
        for (int i = 0; i < steps; i++) {
            double t = (i + 0.5) * h;
            double density = n * Math.pow(n * t, ahead - 1) * Math.exp(-n * t) / factorial;
            inTime += density * (1 - Math.exp(-(q - t))) * h;
        }
        return 1 - inTime;
    }
}
