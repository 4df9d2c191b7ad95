package damsonslip.admin.upgrade;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lock files of all processes of one scheduler, with the one that this process holds.
 *
 * <p>Each process holds an exclusive lock on a file of its own, whose name ends in the process's
 * number. The operating system releases the lock however the process ends, so liveness is told by
 * the lock and not by the file's presence or a process id. The file's content is the holder's
 * {@link ProcessState}. A process must not open its own lock file a second time: closing any
 * channel on a file releases the process's locks on it (POSIX).
 *
 * <p>Not thread-safe.
 */
final class LockFiles {
    private static final String PREFIX = "damsonslip-mark-";

    /** The name of a lock file until it has been locked and numbered. */
    private static final String UNNUMBERED = PREFIX + "new";

    private static final String NUMBER = "[0-9]{1,8}";

    private final Path directory;
    private int ownNumber;
    private FileChannel ownFile;

    LockFiles(Path directory) {
        this.directory = directory;
    }

    /**
     * Removes the lock files of dead processes, and creates and locks one for this process under
     * the next free number. Runs in one process at a time.
     */
    void register() throws IOException {
        ownNumber = 1 + removeDead();
        Path unnumbered = directory.resolve(UNNUMBERED);
        // locked before the rename: other processes test the lock under the final name, and such
        // a test holds the lock briefly
        ownFile = FileChannel.open(unnumbered, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (ownFile.tryLock() == null) {
            throw new IOException("lock file " + UNNUMBERED + " is locked by another process");
        }
        Files.move(unnumbered, path(ownNumber), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Removes the lock files of dead processes; returns the highest number of a live one, or 0. */
    private int removeDead() throws IOException {
        int highest = 0;
        for (Path file : list()) {
            if (readState(file).isPresent()) {
                highest = Math.max(highest, numberOf(file));
            } else {
                Files.deleteIfExists(file);
            }
        }
        return highest;
    }

    /**
     * Undoes a failed registration: if the lock stayed held, a retry by this process would fail.
     */
    void unregister() throws IOException {
        if (ownFile != null) {
            ownFile.close();
            Files.deleteIfExists(path(ownNumber));
        }
    }

    /** Writes the state of this process, which announces it to the others. */
    void writeState(ProcessState state) throws IOException {
        ownFile.write(state.encode(), 0);
    }

    int ownNumber() {
        return ownNumber;
    }

    /** Returns the lock files of all processes, dead ones included. */
    List<Path> list() throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> found = Files.newDirectoryStream(directory, PREFIX + "*")) {
            for (Path file : found) {
                if (suffixOf(file).matches(NUMBER)) {
                    files.add(file);
                }
            }
        }
        return files;
    }

    /** Returns the number of the process that a lock file belongs to. */
    static int numberOf(Path file) {
        return Integer.parseInt(suffixOf(file));
    }

    private static String suffixOf(Path file) {
        return file.getFileName().toString().substring(PREFIX.length());
    }

    /** Returns the state in another process's lock file; empty if its holder is dead. */
    static Optional<ProcessState> readState(Path other) throws IOException {
        try (FileChannel channel =
                        FileChannel.open(other, StandardOpenOption.READ, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock != null) {
                return Optional.empty();
            }
            ByteBuffer bytes = ByteBuffer.allocate(ProcessState.LENGTH);
            channel.read(bytes, 0);
            return Optional.of(ProcessState.decode(bytes.array()));
        } catch (NoSuchFileException e) { // removed by its holder since it was listed
            return Optional.empty();
        }
    }

    /** Removes this process's lock file and releases its lock. */
    void close() throws IOException {
        Files.deleteIfExists(path(ownNumber));
        ownFile.close();
    }

    private Path path(int number) {
        return directory.resolve(PREFIX + number);
    }
}
