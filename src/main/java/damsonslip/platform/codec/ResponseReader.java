package damsonslip.platform.codec;

import java.nio.ByteBuffer;
import java.util.Set;
import org.eclipse.jetty.util.BufferUtil;

/** Decodes the responses of one connection to a worker or to discovery, one after the other. */
public final class ResponseReader {
    private static final int FIRST_FINAL_STATUS = 200;

    /** Header fields that {@link ResponseHead} uses. */
    private static final Set<String> RETAINED_HEADERS =
            HttpMessageReader.names(WireNames.Header.LOAD_REPORT, WireNames.Header.NOT_EXECUTED);

    /** Receives the parts of each response in order. */
    public interface Listener {
        /** The head of a response was read. */
        void responseStarted(ResponseHead head);

        /** A part of the body was read. */
        void contentReceived(byte[] part);

        /**
         * The response is complete.
         *
         * @param reusable whether the connection may carry a further request
         */
        void responseCompleted(boolean reusable);

        /** The bytes are not a valid HTTP response; nothing more is read from the connection. */
        void responseMalformed(String reason);
    }

    private final Listener listener;
    private final HttpMessageReader reader =
            new HttpMessageReader(
                    HttpMessageReader.MessageKind.RESPONSE, RETAINED_HEADERS, new ResponseParts());
    private int status;

    /** Creates a reader that reports to this listener. */
    public ResponseReader(Listener listener) {
        this.listener = listener;
    }

    /**
     * Reads bytes of the current response. Bytes after the end of a response were not requested,
     * and could be taken for the next response, so the connection is then reported as not reusable.
     */
    public void read(ByteBuffer bytes) {
        while (reader.read(bytes)) {
            boolean reusable = reader.isPersistent() && !BufferUtil.hasContent(bytes);
            reader.reset();
            if (isFinal()) {
                listener.responseCompleted(reusable);
                return;
            }
        }
    }

    /** The memory that the head of the current response takes at most, in bytes. */
    public int headMemoryBytes() {
        return reader.headMemoryBytes();
    }

    /**
     * Whether this is a final response, as opposed to an interim one such as {@code 100 Continue}.
     */
    private boolean isFinal() {
        return status >= FIRST_FINAL_STATUS;
    }

    private final class ResponseParts implements HttpMessageReader.Listener {
        @Override
        public void statusLine(int code) {
            status = code;
        }

        @Override
        public void headersComplete() {
            if (isFinal()) {
                listener.responseStarted(ResponseHead.of(status, reader.headers()));
            }
        }

        @Override
        public void content(ByteBuffer part) {
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            listener.contentReceived(bytes);
        }

        @Override
        public void malformed(int code, String reason) {
            listener.responseMalformed(reason == null ? "not HTTP" : reason);
        }
    }
}
