package damsonslip.admin.upgrade;

import damsonslip.membership.peers.PeerProcesses;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

/**
 * The directory through which processes of one scheduler see each other and share the operators'
 * worker overrides.
 *
 * <p>Each process holds an exclusive lock on a file of its own, whose name ends in the process's
 * number. The operating system releases the lock however the process ends, so the lock, not the
 * file's presence or a process id, shows that its holder is alive. The file's content is the
 * holder's state, {@code starting} or {@code serving}. A process must not open its own lock file a
 * second time: closing any channel on a file releases the process's locks on it (POSIX).
 *
 * <p>Not thread-safe.
 */
public final class SharedDirectory {
    private static final String LOCK_FILE_PREFIX = "damsonslip-mark-";
    private static final String OVERRIDES_FILE = "damsonslip-bans";

    /** Locked while a process changes the directory. */
    private static final String DIRECTORY_LOCK_FILE = "damsonslip-guard";

    private static final String SERVING = "serving ";
    private static final String STARTING = "starting";

    /**
     * Attempts at the directory's lock, which others hold for as long as writing a small file
     * takes.
     */
    private static final int LOCK_ATTEMPTS = 25;

    private static final long LOCK_RETRY_MS = 2;

    /** An action on the directory that must not run in two processes at once. */
    public interface Task {
        void run() throws IOException;
    }

    private final Path path;
    private final int number;
    private final FileChannel lockFile;

    /**
     * Size, time and identity of the overrides file when it was last read or written; null before.
     */
    private Object lastVersion;

    /**
     * Registers this process under the next free number and removes the lock files of dead
     * processes.
     *
     * @throws IOException if the directory cannot be written, or its lock is held for longer than
     *     50 ms
     */
    public SharedDirectory(Path path) throws IOException {
        this.path = path;
        Registration registration = new Registration();
        try {
            withLock(registration::make);
            registration.lockFile.write(
                    ByteBuffer.wrap(STARTING.getBytes(StandardCharsets.US_ASCII)), 0);
        } catch (IOException e) { // a lock that stayed would keep this process from trying again
            registration.undo();
            throw e;
        }
        number = registration.number;
        lockFile = registration.lockFile;
    }

    /** A lock file in the making, which leaves nothing behind if it fails. */
    private final class Registration {
        private final Path unnamed = path.resolve(LOCK_FILE_PREFIX + "new");
        private int number;
        private FileChannel lockFile;

        void make() throws IOException {
            List<Integer> numbers = new ArrayList<>();
            for (Path other : lockFiles()) {
                if (readState(other) == null) {
                    Files.deleteIfExists(other);
                } else {
                    numbers.add(SharedDirectory.number(other));
                }
            }
            number = 1 + numbers.stream().mapToInt(Integer::intValue).max().orElse(0);
            // locked before it gets the name under which other processes probe it, since a probe
            // holds the lock briefly
            lockFile =
                    FileChannel.open(unnamed, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (lockFile.tryLock() == null) {
                throw new IOException("the mark of this process is held by another");
            }
            Files.move(unnamed, lockFilePath(number), StandardCopyOption.ATOMIC_MOVE);
        }

        void undo() throws IOException {
            if (lockFile != null) {
                lockFile.close();
                Files.deleteIfExists(lockFilePath(number));
            }
        }
    }

    /** Announces to the other processes that this one serves from now on. */
    public void markServing() throws IOException {
        writeState(SERVING);
    }

    private void writeState(String state)
            throws IOException { // both states have the same length: one overwrites the other
        lockFile.write(ByteBuffer.wrap(state.getBytes(StandardCharsets.US_ASCII)), 0);
    }

    /**
     * Probes the lock files of the other processes and returns the position of this one among those
     * alive.
     */
    public PeerProcesses peers() throws IOException {
        List<PeerProcesses.Peer> others = new ArrayList<>();
        for (Path other : lockFiles()) {
            String state = number(other) == number ? null : readState(other);
            if (state != null) {
                others.add(new PeerProcesses.Peer(number(other), state.equals(SERVING)));
            }
        }
        return PeerProcesses.of(number, others);
    }

    /** Returns the state in another process's lock file, or null if its holder is dead. */
    private String readState(Path other) throws IOException {
        try (FileChannel channel =
                        FileChannel.open(other, StandardOpenOption.READ, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock != null) {
                return null;
            }
            ByteBuffer bytes = ByteBuffer.allocate(SERVING.length());
            channel.read(bytes, 0);
            return new String(bytes.array(), StandardCharsets.US_ASCII);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    private List<Path> lockFiles() throws IOException {
        List<Path> lockFiles = new ArrayList<>();
        try (DirectoryStream<Path> found = Files.newDirectoryStream(path, LOCK_FILE_PREFIX + "*")) {
            for (Path file : found) {
                if (file.getFileName()
                        .toString()
                        .substring(LOCK_FILE_PREFIX.length())
                        .matches("[0-9]{1,8}")) {
                    lockFiles.add(file);
                }
            }
        }
        return lockFiles;
    }

    private static int number(Path file) {
        return Integer.parseInt(file.getFileName().toString().substring(LOCK_FILE_PREFIX.length()));
    }

    private Path lockFilePath(int of) {
        return path.resolve(LOCK_FILE_PREFIX + of);
    }

    /**
     * Returns the shared worker overrides if another process has written them since the last call
     * that went well; null otherwise.
     */
    public String readChangedOverrides() throws IOException {
        Path file = path.resolve(OVERRIDES_FILE);
        Object version = version(file);
        if (version == null || version.equals(lastVersion)) {
            return null;
        }
        String text = Files.readString(file);
        lastVersion = version; // only now: what could not be read is read again
        return text;
    }

    /**
     * Replaces the shared worker overrides atomically and durably: a crash leaves the old text or
     * the new one, and once this returns it leaves the new one.
     */
    public void writeOverrides(String overrides) throws IOException {
        Path whole = path.resolve(OVERRIDES_FILE);
        Path part = path.resolve(OVERRIDES_FILE + ".part");
        try (FileChannel file =
                FileChannel.open(
                        part,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ByteBuffer text = ByteBuffer.wrap(overrides.getBytes(StandardCharsets.UTF_8));
            while (text.hasRemaining()) {
                file.write(text);
            }
            file.force(true);
        }
        Files.move(
                part, whole, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
            folder.force(true); // the new name as well
        }
        lastVersion = version(whole);
    }

    /** A value that differs between versions of a file; null if the file does not exist. */
    private static Object version(Path file) throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            FileTime changed = attributes.lastModifiedTime();
            return List.of(changed, attributes.size(), String.valueOf(attributes.fileKey()));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /**
     * Runs a task while no other process runs one on this directory.
     *
     * @throws IOException from the task, or if the lock is not free within 50 ms
     */
    public void withLock(Task task) throws IOException {
        try (FileChannel channel =
                        FileChannel.open(
                                path.resolve(DIRECTORY_LOCK_FILE),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE);
                FileLock lock = acquire(channel)) {
            if (lock == null) {
                throw new IOException("another process is busy with " + DIRECTORY_LOCK_FILE);
            }
            task.run();
        }
    }

    private static FileLock acquire(FileChannel channel) throws IOException {
        FileLock lock = channel.tryLock();
        for (int i = 0; lock == null && i < LOCK_ATTEMPTS; i++) {
            try {
                Thread.sleep(LOCK_RETRY_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
            lock = channel.tryLock();
        }
        return lock;
    }

    /** Removes this process's lock file and releases its lock. */
    public void close() throws IOException {
        Files.deleteIfExists(lockFilePath(number));
        lockFile.close();
    }
}
