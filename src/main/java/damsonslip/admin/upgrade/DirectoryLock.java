package damsonslip.admin.upgrade;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The inter-process lock that is held while the shared directory is changed. */
final class DirectoryLock {
    private static final String NAME = "damsonslip-guard";

    /** 50 ms in all: other processes hold the lock only while they write a small file. */
    private static final int MAX_RETRIES = 25;

    private static final long RETRY_DELAY_MS = 2;

    private final Path file;

    /** An action that must not run in two processes at the same time. */
    interface Task {
        void run() throws IOException;
    }

    DirectoryLock(Path directory) {
        this.file = directory.resolve(NAME);
    }

    /**
     * Runs a task while holding the lock.
     *
     * @throws IOException from the task, or if the lock is not free within 50 ms
     */
    void run(Task task) throws IOException {
        try (FileChannel channel =
                        FileChannel.open(
                                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = acquire(channel)) {
            if (lock == null) {
                throw new IOException("cannot acquire the lock " + NAME);
            }
            task.run();
        }
    }

    /** Returns the lock, or null if it was not free in time or the thread was interrupted. */
    private static FileLock acquire(FileChannel channel) throws IOException {
        FileLock lock = channel.tryLock();
        for (int retry = 0; lock == null && retry < MAX_RETRIES; retry++) {
            try {
                Thread.sleep(RETRY_DELAY_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
            lock = channel.tryLock();
        }
        return lock;
    }
}
