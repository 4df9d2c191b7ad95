package damsonslip.platform.codec;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.BufferUtil;

/** Decodes a client's bytes, message by message. */
public final class RequestReader implements HttpParser.RequestHandler {
    private static final List<String> METHODS =
            Arrays.stream(HttpMethod.values()).map(m -> m.asString() + " ").toList();
    private static final int LONGEST_METHOD =
            METHODS.stream().mapToInt(String::length).max().orElseThrow();

    /**
     * Fields that mean something here; a message that has one of them twice says two things at
     * once.
     */
    private static final Set<String> SINGLE =
            Stream.of(
                            WireFormat.ID,
                            WireFormat.CLASS,
                            WireFormat.TENANT,
                            WireFormat.TIME_LEFT,
                            WireFormat.KEY,
                            WireFormat.FACTS)
                    .map(name -> name.toLowerCase(Locale.ROOT))
                    .collect(Collectors.toUnmodifiableSet());

    private final HttpParser parser = new HttpParser(this, WireFormat.MOST_HEADERS);
    private Map<String, String> fields = new HashMap<>();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private String method;
    private String target;
    private boolean persistent;
    private boolean expectsContinue;
    private boolean whole;
    private HttpRequest.Bad bad;

    /** Takes bytes in; gives a message once it is whole, else null. */
    public HttpRequest read(ByteBuffer bytes) throws HttpRequest.Bad {
        while (!whole && bad == null && BufferUtil.hasContent(bytes)) {
            int before = bytes.remaining();
            parser.parseNext(bytes);
            if (bytes.remaining() == before && !whole) {
                break;
            }
        }
        if (bad != null) {
            throw bad;
        }
        return whole ? new HttpRequest(method, target, fields, body.toByteArray()) : null;
    }

    /** Whether these bytes, as far as they go, can be the beginning of a message. */
    public static boolean mayBegin(ByteBuffer bytes) {
        int from = bytes.position();
        while (from < bytes.limit() && (bytes.get(from) == '\r' || bytes.get(from) == '\n')) {
            from++;
        }
        byte[] start = new byte[Math.min(LONGEST_METHOD, bytes.limit() - from)];
        bytes.get(from, start);
        String text = new String(start, StandardCharsets.ISO_8859_1);
        return METHODS.stream()
                .anyMatch(method -> text.startsWith(method) || method.startsWith(text));
    }

    /** Whether the connection may serve a further message. */
    public boolean persistent() {
        return persistent;
    }

    /** Whether the client waits to be told to send its body; asked for once. */
    public boolean takeContinue() {
        boolean asked = expectsContinue && !whole;
        expectsContinue = false;
        return asked;
    }

    /** Whether a message has begun and is not whole. */
    public boolean midway() {
        return !whole && !parser.isState(HttpParser.State.START);
    }

    /** Makes ready for the next message. */
    public void next() {
        parser.reset();
        fields = new HashMap<>();
        body = new ByteArrayOutputStream(256);
        whole = false;
    }

    @Override
    public void startRequest(String verb, String uri, HttpVersion version) {
        method = verb;
        target = uri;
        persistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        String name = field.getName().toLowerCase(Locale.ROOT);
        String value = field.getValue() == null ? "" : field.getValue();
        if (name.equals("connection")) {
            String says = value.toLowerCase(Locale.ROOT);
            persistent = !says.contains("close") && (persistent || says.contains("keep-alive"));
        } else if (name.equals("expect")) {
            expectsContinue = value.equalsIgnoreCase("100-continue");
        } else if (name.equals("content-length")
                && parser.getContentLength() > WireFormat.MOST_BODY) {
            bad = new HttpRequest.Bad(413, "body too large");
        }
        if (fields.put(name, value) != null && SINGLE.contains(name)) {
            bad = new HttpRequest.Bad(400, "twice: " + field.getName());
        }
    }

    @Override
    public boolean headerComplete() {
        return bad != null;
    }

    @Override
    public boolean content(ByteBuffer part) {
        if (body.size() + part.remaining() > WireFormat.MOST_BODY) {
            bad = new HttpRequest.Bad(413, "body too large");
            return true;
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.writeBytes(bytes);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        whole = true;
        return true;
    }

    @Override
    public void earlyEOF() {}

    @Override
    public void badMessage(HttpException failure) {
        if (bad == null) {
            int status = failure.getCode() == 414 ? 431 : failure.getCode();
            bad =
                    new HttpRequest.Bad(
                            status,
                            failure.getReason() == null ? "malformed" : failure.getReason());
        }
    }
}
