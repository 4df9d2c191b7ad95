package damsonslip.admin.upgrade;

import damsonslip.membership.peers.PeerProcesses;
import damsonslip.membership.peers.PeerProcesses.Peer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The directory through which processes of one scheduler detect each other ({@link LockFiles}),
 * share the operators' worker overrides ({@link OverridesFile}), and the ids of requests ({@link
 * SharedMemoryFile}). Changes are made while holding the {@link DirectoryLock}.
 *
 * <p>Not thread-safe.
 */
public final class SharedDirectory {
    /** The number is that of the layout of the file's content. */
    private static final String REQUEST_IDS_NAME = "damsonslip-ids-1";

    private final DirectoryLock lock;
    private final LockFiles lockFiles;
    private final OverridesFile overrides;
    private final Path requestIdsFile;

    /**
     * Registers this process under the next free number and removes the lock files of dead
     * processes.
     *
     * @throws IOException if the directory cannot be written, or its lock is held for longer than
     *     50 ms
     */
    public SharedDirectory(Path path) throws IOException {
        lock = new DirectoryLock(path);
        lockFiles = new LockFiles(path);
        overrides = new OverridesFile(path);
        requestIdsFile = path.resolve(REQUEST_IDS_NAME);
        try {
            lock.run(lockFiles::register);
            lockFiles.writeState(ProcessState.STARTING);
        } catch (IOException e) {
            lockFiles.unregister();
            throw e;
        }
    }

    /**
     * Announces to the other processes that this one is serving.
     *
     * @throws IOException if the lock file cannot be written
     */
    public void announceServing() throws IOException {
        lockFiles.writeState(ProcessState.SERVING);
    }

    /**
     * Tests which of the other lock files are locked and returns the position of this process among
     * the live ones.
     *
     * @throws IOException if the directory or a lock file cannot be read
     */
    public PeerProcesses peers() throws IOException {
        int ownNumber = lockFiles.ownNumber();
        List<Peer> others = new ArrayList<>();
        for (Path file : lockFiles.list()) {
            int number = LockFiles.numberOf(file);
            // closing a second channel on the own lock file would release its lock
            if (number != ownNumber) {
                LockFiles.readState(file)
                        .map(state -> new Peer(number, state == ProcessState.SERVING))
                        .ifPresent(others::add);
            }
        }
        return PeerProcesses.of(ownNumber, others);
    }

    /**
     * Returns the shared worker overrides if another process has written them since the last
     * successful call; empty otherwise.
     *
     * @throws IOException if the file cannot be read
     */
    Optional<String> readChangedOverrides() throws IOException {
        return overrides.readIfChanged();
    }

    /**
     * Replaces the shared worker overrides atomically and durably.
     *
     * @throws IOException if they cannot be written, or not durably
     */
    void writeOverrides(String text) throws IOException {
        overrides.write(text);
    }

    /**
     * Maps the memory in which all processes keep the ids of their requests. The lock is only
     * needed to create its file, so that a new process that finds it is not held up by the others.
     *
     * @param bytes its size
     * @throws IOException if there is no room for its file, or the file is missing and the lock is
     *     not free within 50 ms
     */
    ByteBuffer mapRequestIds(int bytes) throws IOException {
        SharedMemoryFile memory = new SharedMemoryFile(requestIdsFile, bytes);
        if (!memory.isComplete()) {
            lock.run(memory::complete);
        }
        return memory.map();
    }

    /**
     * Runs a task while holding the lock of this directory, which excludes other processes.
     *
     * @throws IOException from the task, or if the lock is not free within 50 ms
     */
    void withLock(DirectoryLock.Task task) throws IOException {
        lock.run(task);
    }

    /**
     * Removes this process's lock file and releases its lock.
     *
     * @throws IOException if the file cannot be removed
     */
    public void close() throws IOException {
        lockFiles.close();
    }
}
