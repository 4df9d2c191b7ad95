package damsonslip.admin.upgrade;

import damsonslip.membership.peers.PeerProcesses;
import damsonslip.membership.peers.PeerProcesses.Peer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The directory through which processes of one scheduler detect each other ({@link LockFiles}) and
 * share the operators' worker overrides ({@link OverridesFile}). Changes are made while holding the
 * {@link DirectoryLock}.
 *
 * <p>Not thread-safe.
 */
public final class SharedDirectory {
    private final DirectoryLock lock;
    private final LockFiles lockFiles;
    private final OverridesFile overrides;

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
