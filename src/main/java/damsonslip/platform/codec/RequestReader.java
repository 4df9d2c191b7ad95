package damsonslip.platform.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpMethod;

/** Decodes the requests of one client's connection, one after the other. */
public final class RequestReader {
    private static final List<String> METHODS =
            Arrays.stream(HttpMethod.values()).map(m -> m.asString() + " ").toList();
    private static final int LONGEST_METHOD =
            METHODS.stream().mapToInt(String::length).max().orElseThrow();

    /** Header fields that may occur only once: a repeated one makes the request ambiguous. */
    private static final Set<String> UNIQUE_HEADERS =
            HttpMessageReader.names(
                    WireNames.Header.REQUEST_ID,
                    WireNames.Header.JOB_CLASS,
                    WireNames.Header.TENANT,
                    WireNames.Header.TIME_BUDGET,
                    WireNames.Header.IDEMPOTENCY_KEY,
                    WireNames.Header.DEMANDS);

    /** Header fields that {@link RequestDecoder} uses. */
    private static final Set<String> RETAINED_HEADERS =
            Stream.concat(
                            UNIQUE_HEADERS.stream(),
                            HttpMessageReader.names(WireNames.Header.CONTENT_TYPE).stream())
                    .collect(Collectors.toUnmodifiableSet());

    private final HttpMessageReader reader =
            new HttpMessageReader(
                    HttpMessageReader.MessageKind.REQUEST, RETAINED_HEADERS, new RequestParts());
    private final BodyBuffer body = new BodyBuffer(WireFormat.MAX_BODY_BYTES);

    private String method;
    private String target;
    private boolean expectsContinue;
    private BadRequestException failure;

    /**
     * Reads bytes of the current request.
     *
     * @return the request once it is complete, else null
     * @throws BadRequestException if the bytes are not a request that can be served; the connection
     *     has to be closed after the response
     */
    public HttpRequest read(ByteBuffer bytes) throws BadRequestException {
        boolean complete = reader.read(bytes);
        if (failure != null) {
            throw failure;
        }
        return complete ? takeRequest() : null;
    }

    /** Returns the complete request, without keeping any of it. */
    private HttpRequest takeRequest() {
        HttpRequest request = new HttpRequest(method, target, reader.headers(), body.take());
        method = null;
        target = null;
        reader.forgetHeaders();
        return request;
    }

    /** The memory that an incomplete request holds, in bytes; 0 if none has begun. */
    public int incompleteBytes() {
        return isMidRequest() ? reader.headMemoryBytes() + body.capacity() : 0;
    }

    /** Releases the memory of a request that is not read any further. */
    public void discard() {
        reader.discard();
        body.clear();
    }

    /** Whether these bytes can be the beginning of a request, as far as they have arrived. */
    public static boolean mayBeginRequest(ByteBuffer bytes) {
        int from = bytes.position();
        while (from < bytes.limit() && (bytes.get(from) == '\r' || bytes.get(from) == '\n')) {
            from++;
        }
        byte[] start = new byte[Math.min(LONGEST_METHOD, bytes.limit() - from)];
        bytes.get(from, start);
        String text = new String(start, StandardCharsets.ISO_8859_1);
        return METHODS.stream().anyMatch(known -> text.startsWith(known) || known.startsWith(text));
    }

    /** Whether the client keeps the connection open after the current request. */
    public boolean isPersistent() {
        return reader.isPersistent();
    }

    /** Whether the client awaits {@code 100 Continue} before it sends the body; true only once. */
    public boolean takeExpectContinue() {
        boolean expected = expectsContinue && !reader.isComplete();
        expectsContinue = false;
        return expected;
    }

    /** Whether a request has begun and is incomplete. */
    public boolean isMidRequest() {
        return reader.isMidMessage();
    }

    /** Prepares for the next request. */
    public void reset() {
        reader.reset();
        body.clear();
    }

    private final class RequestParts implements HttpMessageReader.Listener {
        private static final int URI_TOO_LONG = 414;
        private static final int HEADERS_TOO_LARGE = 431;

        @Override
        public void requestLine(String requestMethod, String requestTarget) {
            method = requestMethod;
            target = requestTarget;
        }

        @Override
        public void header(String name, String value, boolean repeated) {
            if (name.equalsIgnoreCase(WireNames.Header.EXPECT)) {
                expectsContinue = value.equalsIgnoreCase("100-continue");
            } else if (name.equalsIgnoreCase(WireNames.Header.CONTENT_LENGTH)
                    && reader.contentLength() > WireFormat.MAX_BODY_BYTES) {
                fail(413, "body too large");
            }
            if (repeated && UNIQUE_HEADERS.contains(HttpMessageReader.lowerCase(name))) {
                fail(400, "twice: " + name);
            }
        }

        @Override
        public void content(ByteBuffer part) {
            if (!body.append(part, reader.contentLength())) {
                fail(413, "body too large");
            }
        }

        @Override
        public void malformed(int status, String reason) {
            if (failure == null) {
                fail(
                        status == URI_TOO_LONG ? HEADERS_TOO_LARGE : status,
                        reason == null ? "malformed" : reason);
            }
        }

        private void fail(int status, String message) {
            failure = new BadRequestException(status, message);
            reader.stop();
        }
    }
}
