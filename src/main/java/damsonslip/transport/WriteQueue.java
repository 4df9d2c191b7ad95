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
 * the high watermark nothing is read from the peer until the backlog has fallen to the low
 * watermark. All calls are made on the event loop, and so are completions of writes, since {@link
 * LoopEndPoint} writes there. Therefore, whenever a later event is handled, it is known whether the
 * last byte was passed to the kernel.
 */
final class WriteQueue {
    /**
     * The size of the largest usual response, so that a single one does not pause reading. Above
     * it, further requests of the peer would only add responses to the queue.
     */
    private static final int HIGH_WATERMARK_BYTES = 256 * 1024;

    private static final int LOW_WATERMARK_BYTES = HIGH_WATERMARK_BYTES / 4;

    private final EndPoint endPoint;
    private final Listener listener;
    private final ArrayDeque<Message> queue = new ArrayDeque<>();
    private boolean writing;

    /** Whether the backlog has exceeded the high watermark and not fallen to the low one since. */
    private boolean full;

    /** The message being written; the remaining bytes are those not yet passed to the kernel. */
    private List<ByteBuffer> current = List.of();

    /** The connection whose messages are written. */
    interface Listener {
        boolean isClosed();

        /** A message was written, even if the connection has been closed since. */
        void messageWritten();

        /** The queue is empty. */
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

    /** Adds a message; runs the callback once its last byte has been passed to the kernel. */
    void add(Runnable written, ByteBuffer... buffers) {
        queue.add(new Message(Arrays.asList(buffers), written));
        writeNext();
        full = full || backlogBytes() > HIGH_WATERMARK_BYTES;
    }

    /** Releases the memory of a connection that is closed. */
    void release() {
        queue.clear();
        current = List.of();
    }

    /** Whether a message is being written. */
    boolean isWriting() {
        return writing;
    }

    /** Whether the backlog is so large that reading has to pause. */
    boolean isFull() {
        return full;
    }

    /** Returns the number of bytes that have not been passed to the kernel yet. */
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

    /** Runs on the loop when a message has been passed to the kernel, or the connection broke. */
    private final class Completion implements Callback {
        private final Runnable written;

        Completion(Runnable written) {
            this.written = written;
        }

        @Override
        public void succeeded() {
            listener.messageWritten();
            writing = false;
            current = List.of(); // releases the message of a connection that becomes idle
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
