package damsonslip.tools.lab.soak;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * Commands the fault library in one process, through a file that both map; a command takes effect
 * with the next call.
 *
 * <p>Layout, in the machine's byte order: the wall clock's offset in nanoseconds (8 bytes, 8
 * unused), then for each {@link SystemCall} 40 bytes: errno, every so manieth call, milliseconds to
 * wait, most bytes (4 bytes each), calls, failed calls (8 bytes each), 8 unused.
 */
public final class FaultControl {
    private static final int SIZE = 4_096;
    private static final int FAULTS = 16;
    private static final int FAULT_SIZE = 40;
    private static final int ERROR = 0;
    private static final int EVERY = 4;
    private static final int HOLD_MS = 8;
    private static final int MOST_BYTES = 12;
    private static final int CALLS = 16;

    private final Path library;
    private final Path file;
    private final MappedByteBuffer control;

    /** Makes a control file without any fault in this folder. */
    public FaultControl(Path library, Path folder) throws IOException {
        this.library = library;
        this.file = Files.createTempFile(folder, "faults", ".control");
        Files.write(file, new byte[SIZE]);
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE);
        }
        control.order(ByteOrder.nativeOrder());
    }

    /** What a process needs in its environment to be commanded from here. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "DAMSONSLIP_FAULTS", file.toString());
    }

    /** Sets the wall clock off by this much, from now on. */
    public void stepWallClock(Duration offset) {
        control.putLong(0, offset.toNanos());
    }

    /** Every so manieth call fails with this error, from now on. */
    public void fail(SystemCall call, Errno error, int every) {
        control.putInt(at(call, EVERY), every);
        control.putInt(at(call, ERROR), error.number());
    }

    /** Each call waits so long before it is made, from now on. */
    public void hold(SystemCall call, int millis) {
        control.putInt(at(call, HOLD_MS), millis);
    }

    /** Each call transfers so many bytes at the most, from now on. */
    public void shorten(SystemCall call, int mostBytes) {
        control.putInt(at(call, MOST_BYTES), mostBytes);
    }

    /** The call works as usual again. */
    public void restore(SystemCall call) {
        control.putInt(at(call, ERROR), 0);
        control.putInt(at(call, EVERY), 0);
        control.putInt(at(call, HOLD_MS), 0);
        control.putInt(at(call, MOST_BYTES), 0);
    }

    /** How often the call was made, failed or not. */
    public long calls(SystemCall call) {
        return control.getLong(at(call, CALLS));
    }

    private static int at(SystemCall call, int field) {
        return FAULTS + FAULT_SIZE * call.ordinal() + field;
    }
}
