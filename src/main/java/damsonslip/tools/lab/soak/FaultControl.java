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
 * Controls the fault library in one process through a file that both map into memory. A change
 * takes effect with the next call.
 *
 * <p>Layout, in the machine's byte order: the wall clock's offset in nanoseconds (8 bytes, 8
 * unused), then for each {@link SystemCall} 40 bytes: errno, N for every Nth call, delay in
 * milliseconds, maximum of bytes (4 bytes each), number of calls, number of failed calls (8 bytes
 * each), 8 unused.
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

    /** Creates a control file in this folder, with no fault set. */
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

    /**
     * The environment variables with which a process loads the library and finds this control file.
     */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "DAMSONSLIP_FAULTS", file.toString());
    }

    /** Shifts the wall clock of the process by this offset from now on. */
    public void stepWallClock(Duration offset) {
        control.putLong(0, offset.toNanos());
    }

    /** Makes every Nth call fail with this error from now on. */
    public void fail(SystemCall call, Errno error, int every) {
        control.putInt(at(call, EVERY), every);
        control.putInt(at(call, ERROR), error.number());
    }

    /** Delays each call by this time from now on. */
    public void hold(SystemCall call, int millis) {
        control.putInt(at(call, HOLD_MS), millis);
    }

    /** Limits the bytes that each call transfers from now on. */
    public void shorten(SystemCall call, int mostBytes) {
        control.putInt(at(call, MOST_BYTES), mostBytes);
    }

    /** Removes all faults from the call. */
    public void restore(SystemCall call) {
        control.putInt(at(call, ERROR), 0);
        control.putInt(at(call, EVERY), 0);
        control.putInt(at(call, HOLD_MS), 0);
        control.putInt(at(call, MOST_BYTES), 0);
    }

    /** The number of calls made, including failed ones. */
    public long calls(SystemCall call) {
        return control.getLong(at(call, CALLS));
    }

    private static int at(SystemCall call, int field) {
        return FAULTS + FAULT_SIZE * call.ordinal() + field;
    }
}
