package damsonslip.tools.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.config.ConfigurationException;
import damsonslip.tools.lab.Sample.Axis;
import damsonslip.tools.lab.Sample.Basis;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the lab commands: reproducible samples for a seed, correct power-law fits, and a one-line
 * error message for invalid input.
 */
class LabTest {
    private static final String[] SMALL = {
        "scale",
        "--quick",
        "--workers",
        "20,40",
        "--schedulers",
        "3,6",
        "--teams",
        "2",
        "--zones",
        "1,2",
        "--csv"
    };

    @TempDir Path dir;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int lab(String... args) {
        out.reset();
        err.reset();
        return Lab.run(
                List.of(args),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private List<Sample> small(String name) throws ConfigurationException {
        Path file = dir.resolve(name);
        List<String> args = new ArrayList<>(List.of(SMALL));
        args.add(file.toString());
        assertEquals(0, lab(args.toArray(String[]::new)), err::toString);
        return SampleFile.read(file.toString());
    }

    @Test
    void sameSeedGivesSameCountsAndFileGivesSameTables() throws ConfigurationException {
        List<Sample> one = small("one.csv");
        List<String> printed =
                out.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> !line.startsWith("#"))
                        .toList();
        assertEquals(0, lab("slopes", dir.resolve("one.csv").toString()));
        assertEquals(printed, out.toString(StandardCharsets.UTF_8).lines().toList());
        List<Sample> other = small("other.csv");
        assertEquals(
                IntStream.range(0, one.size()).mapToObj(i -> series(one.get(i))).toList(),
                IntStream.range(0, other.size()).mapToObj(i -> series(other.get(i))).toList());
        assertEquals(counted(one), counted(other));
        assertTrue(counted(one).size() > 10, () -> counted(one).toString());
        assertTrue(one.stream().allMatch(sample -> Double.isFinite(sample.value())), one::toString);
        for (Axis axis : Axis.values()) {
            assertTrue(one.stream().anyMatch(sample -> sample.axis() == axis), axis::name);
        }
    }

    private static String series(Sample sample) {
        return sample.measure() + " " + sample.axis() + " " + sample.size() + " " + sample.basis();
    }

    private static List<String> counted(List<Sample> samples) {
        return samples.stream()
                .filter(sample -> sample.basis() != Basis.MEASURED)
                .map(Sample::line)
                .toList()
                .stream()
                .filter(line -> !line.contains("CPU"))
                .toList();
    }

    @ParameterizedTest
    @CsvSource({"1,1", "0.25,2", "40,0", "3,-1"})
    void fitsFactorAndExponentOfAPowerLaw(double factor, double exponent) {
        List<Sample> points =
                Stream.of(60L, 200L, 600L, 2_000L, 5_500L)
                        .map(
                                size ->
                                        new Sample(
                                                Measure.CHANGE_CPU,
                                                Axis.WORKERS,
                                                size,
                                                factor * Math.pow(size, exponent),
                                                Basis.MEASURED))
                        .toList();
        PowerLaw law = PowerLaw.fit(points);
        assertEquals(exponent, law.exponent(), 1e-5); // samples keep six digits
        assertEquals(factor, law.factor(), 1e-5 * factor);
        assertEquals(1, law.residual(), 1e-5);
    }

    @Test
    void reportsTheSizeAtWhichABudgetIsExceeded() {
        List<Sample> points =
                Stream.of(100L, 1_000L)
                        .map(
                                size ->
                                        new Sample(
                                                Measure.CONTROL_SHARE,
                                                Axis.WORKERS,
                                                size,
                                                size / 250.0,
                                                Basis.MEASURED))
                        .toList();
        assertTrue(
                SlopeReport.lines(points).stream()
                        .anyMatch(line -> line.startsWith("| some 500 | workers")),
                () -> SlopeReport.lines(points).toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "scale --workers 0",
                "scale --workers 60,-4",
                "scale --workers 2000000000",
                "scale --zones 0",
                "scale --schedulers -1",
                "scale --teams 0",
                "scale --workers many",
                "scale --csv /proc/no/such.csv",
                "scale --csv /",
                "slopes /no/such.csv",
                "real --processes 0",
                "real --processes 1000",
                "real --workers 0",
                "nonsense",
                "scale --nonsense"
            })
    void reportsInvalidInputInOneLine(String line) {
        assertTrue(lab(line.split(" ")) > 0);
        assertEquals(1, err.toString(StandardCharsets.UTF_8).lines().count(), err::toString);
        assertFalse(err.toString(StandardCharsets.UTF_8).contains("Exception"), err::toString);
        assertEquals("", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void invalidInputLeavesExistingFileUnchangedAndNoTemporaryFile() throws IOException {
        Path file = Files.writeString(dir.resolve("kept.csv"), "kept");
        assertEquals(1, lab("scale", "--workers", "0", "--csv", file.toString()));
        assertEquals("kept", Files.readString(file));
        try (Stream<Path> files = Files.list(dir)) {
            assertEquals(1, files.count());
        }
    }

    @Test
    void rejectsFileWithoutValidSamples() throws IOException {
        for (String text : List.of("", "role,measure\n", "a,b,c,workers,1,1,measured\n")) {
            Path file = Files.writeString(dir.resolve("bad.csv"), text);
            assertEquals(1, lab("slopes", file.toString()), text);
            assertEquals(1, err.toString(StandardCharsets.UTF_8).lines().count(), err::toString);
        }
    }

    @Test
    void capacityPageMatchesTheTablesOfItsFiles() throws IOException {
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        int begin = page.indexOf("<!-- lab slopes ");
        int text = page.indexOf("-->\n", begin);
        String[] command = page.substring(begin + "<!-- lab ".length(), text).strip().split(" ");
        assertEquals(0, lab(command), err::toString);
        assertEquals(
                out.toString(StandardCharsets.UTF_8),
                page.substring(text + "-->\n".length(), page.indexOf("<!-- end -->", text)));
    }

    @Test
    void reportsTheRatioOfRealToSimulatedCosts() {
        List<Sample> samples =
                List.of(
                        new Sample(Measure.CHANGE_CPU, Axis.WORKERS, 60, 1, Basis.MEASURED),
                        new Sample(Measure.CHANGE_CPU, Axis.WORKERS, 600, 5, Basis.MEASURED),
                        new Sample(Measure.PROCESS_CHANGE_CPU, Axis.WORKERS, 60, 3, Basis.MEASURED),
                        new Sample(
                                Measure.PROCESS_CHANGE_CPU, Axis.WORKERS, 600, 9, Basis.MEASURED));
        List<String> lines = SlopeReport.lines(samples);
        assertTrue(lines.get(lines.size() - 1).endsWith("| 600 | 6 | 4 | 1.50 |"), lines::toString);
    }
}
