package damsonslip.admin.upgrade;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;

/** The file with the operators' worker overrides, shared by all processes. Not thread-safe. */
final class OverridesFile {
    private static final String NAME = "damsonslip-bans";
    private static final String TEMPORARY_NAME = NAME + ".part";

    private final Path directory;
    private final Path file;

    /** The version that this process last read or wrote; empty if it has done neither. */
    private Optional<Version> lastVersion = Optional.empty();

    /** Identifies a version of the file; each one is written to a new file, with another key. */
    private record Version(FileTime modified, long size, String fileKey) {}

    OverridesFile(Path directory) {
        this.directory = directory;
        this.file = directory.resolve(NAME);
    }

    /**
     * Returns the overrides if another process has written them since the last successful call;
     * empty otherwise.
     */
    Optional<String> readIfChanged() throws IOException {
        Optional<Version> version = currentVersion();
        if (version.isEmpty() || version.equals(lastVersion)) {
            return Optional.empty();
        }
        String text = Files.readString(file);
        lastVersion = version; // set last, so that a failed read is repeated
        return Optional.of(text);
    }

    /**
     * Replaces the overrides atomically and durably: a crash leaves the old text or the new one,
     * and once this returns it leaves the new one.
     */
    void write(String overrides) throws IOException {
        Path temporary = directory.resolve(TEMPORARY_NAME);
        writeDurably(temporary, overrides);
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        syncDirectory();
        lastVersion = currentVersion();
    }

    private static void writeDurably(Path path, String content) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(content.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
    }

    /** Makes the rename durable. */
    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private Optional<Version> currentVersion() throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return Optional.of(
                    new Version(
                            attributes.lastModifiedTime(),
                            attributes.size(),
                            String.valueOf(attributes.fileKey())));
        } catch (NoSuchFileException e) { // no operator has changed an override yet
            return Optional.empty();
        }
    }
}
