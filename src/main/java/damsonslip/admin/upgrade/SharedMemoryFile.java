package damsonslip.admin.upgrade;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file that the processes of one scheduler map into their memory. The first one creates it with
 * zeros; what a process writes into its memory is seen by the others at once, and stays when it
 * ends. It is meant for a file system in memory: on a disk, an access may have to wait for the
 * disk, and one that fails ends the process. Not thread-safe.
 */
final class SharedMemoryFile {
    private final Path file;
    private final int bytes;

    /**
     * Refers to a file that need not exist yet.
     *
     * @param bytes the size, the same in all processes
     */
    SharedMemoryFile(Path file, int bytes) {
        this.file = file;
        this.bytes = bytes;
    }

    /** Whether the file has its whole size already, so that it can be mapped as it is. */
    boolean isComplete() {
        return file.toFile().length() >= bytes;
    }

    /**
     * Creates the file, or completes it, with zeros, so that the disk has room for all of it: a
     * full disk would end the process on an access to mapped memory. What is there already is left
     * as it is. Runs in one process at a time.
     *
     * @throws IOException if there is no room for the file
     */
    void complete() throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            long present = channel.size();
            ByteBuffer zeros = ByteBuffer.allocate((int) Math.max(0, bytes - present));
            while (zeros.hasRemaining()) {
                channel.write(zeros, bytes - zeros.remaining());
            }
        }
    }

    /** Maps the complete file. */
    MappedByteBuffer map() throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
    }
}
