package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes samples as CSV; lines that begin with '#' describe the run. */
final class SampleFile {
    private SampleFile() {}

    /** Checks before a run that its file can be written, so that no results are lost at the end. */
    static Path requireWritable(String name) throws ConfigurationException {
        try {
            Path file = Path.of(name).toAbsolutePath();
            Path folder = file.getParent();
            if (folder == null
                    || Files.isDirectory(file)
                    || !Files.isDirectory(folder)
                    || Files.exists(file) && !Files.isWritable(file)) {
                throw new ConfigurationException("lab: cannot write " + name);
            }
            Files.delete(Files.createTempFile(folder, ".lab", ".tmp"));
            return file;
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException("lab: cannot write " + name);
        }
    }

    /**
     * Writes a temporary file in the same folder and moves it into place, so that readers see
     * either the old file or the complete new one.
     */
    static void write(Path file, List<String> remarks, List<Sample> samples)
            throws ConfigurationException {
        List<String> lines = new ArrayList<>();
        remarks.forEach(remark -> lines.add("# " + remark));
        lines.add(Sample.HEADER);
        samples.forEach(sample -> lines.add(sample.line()));
        try {
            Path temporary = Files.createTempFile(file.getParent(), ".lab", ".tmp");
            try {
                Files.write(temporary, lines);
                Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING);
            } finally {
                Files.deleteIfExists(temporary);
            }
        } catch (IOException e) {
            throw new ConfigurationException("lab: cannot write " + file + ": " + e.getMessage());
        }
    }

    static List<Sample> read(String name) throws ConfigurationException {
        try {
            List<Sample> samples = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of(name))) {
                if (!line.startsWith("#") && !line.equals(Sample.HEADER)) {
                    samples.add(Sample.parse(line));
                }
            }
            if (samples.isEmpty()) {
                throw new ConfigurationException("lab: no samples in " + name);
            }
            return samples;
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException("lab: cannot read " + name);
        }
    }
}
