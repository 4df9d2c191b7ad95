package damsonslip.platform.codec;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Parses the HTTP/1.1 messages of one connection, one after the other, from bytes as they arrive.
 * Shared by {@link RequestReader} and {@link ResponseReader}, which decide what a message means.
 */
final class HttpMessageReader {
    /** Which side of a connection is read. */
    enum MessageKind {
        REQUEST,
        RESPONSE
    }

    /** What the owner does with the parts of a message; may call {@link #stop}. */
    interface Listener {
        /** The request line of a request was read. */
        default void requestLine(String method, String target) {}

        /** The status line of a response was read. */
        default void statusLine(int status) {}

        /**
         * A header field was read.
         *
         * @param name as it was sent
         * @param repeated whether it is retained, and the message has had a field of this name
         *     before
         */
        default void header(String name, String value, boolean repeated) {}

        /** All header fields were read. */
        default void headersComplete() {}

        /** A part of the body was read; the buffer is valid during the call only. */
        void content(ByteBuffer part);

        /**
         * The bytes are not valid HTTP; nothing more is read.
         *
         * @param reason the parser's reason, or null
         */
        void malformed(int status, String reason);
    }

    /** Jetty's cache of header fields: by default it takes some 100 KB for each connection. */
    private static final int NO_HEADER_CACHE = 0;

    /**
     * How many bytes of memory a byte of a head takes at most while it is parsed: the parser's
     * buffer, which doubles, and the text made from it.
     */
    private static final int MEMORY_PER_HEAD_BYTE = 3;

    private final MessageKind kind;
    private final Set<String> retainedHeaders;
    private final Listener listener;
    private final ParserEvents events = new ParserEvents();

    /** Parses the current message; null before its first byte and after its last one. */
    private HttpParser parser;

    private Map<String, String> headers = new HashMap<>();

    /** The bytes of the current message's head that were read. */
    private int headBytes;

    private boolean headComplete;

    /** The bytes of content in the current call of the parser. */
    private int contentBytes;

    private boolean persistent;
    private boolean complete;
    private boolean stopped;

    /**
     * @param retainedHeaders the names of the header fields that the owner uses, in lower case; no
     *     others are kept, since many short fields take much more memory than their bytes
     */
    HttpMessageReader(MessageKind kind, Set<String> retainedHeaders, Listener listener) {
        this.kind = kind;
        this.retainedHeaders = retainedHeaders;
        this.listener = listener;
    }

    private HttpParser newParser() {
        HttpParser created =
                switch (kind) {
                    case REQUEST ->
                            new HttpParser(
                                    (HttpParser.RequestHandler) events,
                                    WireFormat.MAX_HEADER_BYTES);
                    case RESPONSE ->
                            new HttpParser(
                                    (HttpParser.ResponseHandler) events,
                                    WireFormat.MAX_HEADER_BYTES);
                };
        created.setHeaderCacheSize(NO_HEADER_CACHE);
        return created;
    }

    /**
     * Parses up to the end of the current message.
     *
     * @return whether the message is complete; the remaining bytes belong to the next one
     */
    boolean read(ByteBuffer bytes) {
        while (!complete && !stopped && BufferUtil.hasContent(bytes)) {
            if (parser == null) {
                parser = newParser();
            }
            if (parseNext(bytes) == 0) {
                break;
            }
        }
        if (complete || stopped) {
            parser = null; // it refers to the bytes that it has read last
        }
        return complete;
    }

    /** Returns the number of bytes that were parsed. */
    private int parseNext(ByteBuffer bytes) {
        int before = bytes.remaining();
        boolean isHead = !headComplete;
        contentBytes = 0;
        parser.parseNext(bytes);
        int parsed = before - bytes.remaining();
        if (isHead) {
            headBytes += parsed - contentBytes;
        }
        return parsed;
    }

    /** The memory that the head of the current message takes at most, in bytes. */
    int headMemoryBytes() {
        return parser == null ? 0 : headBytes * MEMORY_PER_HEAD_BYTE;
    }

    /** Stops reading: nothing more of this connection is parsed. */
    void stop() {
        stopped = true;
    }

    /** Stops reading, and releases the memory; not called by the listener. */
    void discard() {
        stop();
        parser = null;
        forgetHeaders();
    }

    /** Prepares for the next message. */
    void reset() {
        parser = null;
        forgetHeaders();
        headBytes = 0;
        headComplete = false;
        complete = false;
    }

    /** Releases the header fields of a message that its owner has taken over. */
    void forgetHeaders() {
        headers = new HashMap<>();
    }

    /** The retained header fields of the current message, by their names in lower case. */
    Map<String, String> headers() {
        return headers;
    }

    /**
     * The length that the header fields announce, or a negative number. Only during a call of the
     * listener.
     */
    long contentLength() {
        return parser.getContentLength();
    }

    /** Whether the sender keeps the connection open after this message. */
    boolean isPersistent() {
        return persistent;
    }

    /** Whether the current message was read to its end. */
    boolean isComplete() {
        return complete;
    }

    /** Whether a message has begun and is incomplete. */
    boolean isMidMessage() {
        return parser != null && !parser.isState(HttpParser.State.START);
    }

    /**
     * A worker or discovery that sends no {@code close} keeps the connection open, even in
     * HTTP/1.0.
     */
    private boolean persistsAfter(String connectionOptions) {
        String options = connectionOptions.toLowerCase(Locale.ROOT);
        if (options.contains("close")) {
            return false;
        }
        return kind == MessageKind.RESPONSE || persistent || options.contains("keep-alive");
    }

    /** Jetty's callbacks; a true result makes the parser return to its caller. */
    private final class ParserEvents
            implements HttpParser.RequestHandler, HttpParser.ResponseHandler {
        @Override
        public void startRequest(String method, String uri, HttpVersion version) {
            persistent = version == HttpVersion.HTTP_1_1;
            listener.requestLine(method, uri);
        }

        @Override
        public void startResponse(HttpVersion version, int status, String reason) {
            persistent = version == HttpVersion.HTTP_1_1;
            listener.statusLine(status);
        }

        @Override
        public void parsedHeader(HttpField field) {
            String value = field.getValue() == null ? "" : field.getValue();
            if (field.getName().equalsIgnoreCase(WireNames.Header.CONNECTION)) {
                persistent = persistsAfter(value);
            }
            String name = lowerCase(field.getName());
            boolean repeated = retainedHeaders.contains(name) && headers.put(name, value) != null;
            listener.header(field.getName(), value, repeated);
        }

        @Override
        public boolean headerComplete() {
            headComplete = true;
            listener.headersComplete();
            return stopped;
        }

        @Override
        public boolean content(ByteBuffer part) {
            contentBytes += part.remaining();
            listener.content(part);
            return stopped;
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            complete = true;
            return true;
        }

        @Override
        public void earlyEOF() {
            // the connection reports its close itself
        }

        @Override
        public void badMessage(HttpException failure) {
            stopped = true;
            listener.malformed(failure.getCode(), failure.getReason());
        }
    }

    static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }

    /** A set of names for {@link HttpMessageReader}, in lower case. */
    static Set<String> names(String... names) {
        return Stream.of(names)
                .map(HttpMessageReader::lowerCase)
                .collect(Collectors.toUnmodifiableSet());
    }
}
