package damsonslip.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the messages of one connection in order, one at a time, and applies backpressure: above
 * the high watermark nothing is read from the peer until the backlog has fallen to the low one. All
 * calls are made on the event loop, the completion of a write included, since the {@link
 * LoopEndPoint} writes there. So every later event finds it known whether the last byte was handed
 * to the system.
 */
final class WriteQueue {
    /**
     * As large as the largest usual answer, so that one alone does not stop reading. Above it a
     * peer's further requests would only add answers that wait as well.
     */
    private static final int HIGH_WATERMARK_BYTES = 256 * 1024;

    private static final int LOW_WATERMARK_BYTES = HIGH_WATERMARK_BYTES / 4;

    private final EndPoint endPoint;
    private final Listener listener;
    private final ArrayDeque<Message> queue = new ArrayDeque<>();
    private boolean writing;

    /** Whether the backlog has passed the high watermark, and not yet fallen to the low one. */
    private boolean full;

    /** What is being written; its buffers show what the system has not taken yet. */
    private List<ByteBuffer> current = List.of();

    /** The connection whose messages are written. */
    interface Listener {
        boolean isClosed();

        /** A message was written, even if the connection has been closed since. */
        void messageWritten();

        /** Nothing is left to write. */
        void allWritten();

        /** The backlog has fallen to the low watermark, so that reading may resume. */
        void belowLowWatermark();

        void writeFailed();
    }

    private record Message(List<ByteBuffer> buffers, Runnable written) {}

    WriteQueue(EndPoint endPoint, Listener listener) {
        this.endPoint = endPoint;
        this.listener = listener;
    }

    /** Adds a message; runs the callback once its last byte has been handed to the system. */
    void add(Runnable written, ByteBuffer... buffers) {
        queue.add(new Message(Arrays.asList(buffers), written));
        writeNext();
        full = full || backlogBytes() > HIGH_WATERMARK_BYTES;
    }

    /** Whether a message is being written. */
    boolean isWriting() {
        return writing;
    }

    /** Whether reading has to pause, since too much waits to be written. */
    boolean isFull() {
        return full;
    }

    /** Returns how many bytes the system has not taken yet. */
    long backlogBytes() {
        long waiting = queue.stream().mapToLong(message -> remaining(message.buffers())).sum();
        return remaining(current) + waiting;
    }

    private static long remaining(List<ByteBuffer> buffers) {
        long bytes = 0;
        for (ByteBuffer buffer : buffers) {
            bytes += BufferUtil.length(buffer);
        }
        return bytes;
    }

    private void writeNext() {
        if (writing || listener.isClosed()) {
            return;
        }
        Message next = queue.poll();
        if (next == null) {
            listener.allWritten();
            return;
        }
        writing = true;
        current = next.buffers();
        endPoint.write(new Completion(next.written()), current.toArray(ByteBuffer[]::new));
    }

    /** Runs on the loop when the system has taken a message, or the connection has broken. */
    private final class Completion implements Callback {
        private final Runnable written;

        Completion(Runnable written) {
            this.written = written;
        }

        @Override
        public void succeeded() {
            listener.messageWritten();
            writing = false;
            current = List.of(); // an idle connection would keep its last message in memory
            if (listener.isClosed()) {
                return;
            }
            boolean resumed = full && backlogBytes() <= LOW_WATERMARK_BYTES;
            full = full && !resumed;
            written.run();
            writeNext();
            if (resumed) {
                listener.belowLowWatermark();
            }
        }

        @Override
        public void failed(Throwable cause) {
            listener.writeFailed();
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
