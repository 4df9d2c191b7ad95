package damsonslip;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limits that the readers of Rules.java have set. */
class SizeTest {
    @Test
    void rulesStayWithinTheirLines() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/damsonslip/Rules.java"));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= 850, filled + " lines");
        assertTrue(lines.stream().allMatch(line -> line.length() <= 110), "no line over 110 characters");
    }
}
