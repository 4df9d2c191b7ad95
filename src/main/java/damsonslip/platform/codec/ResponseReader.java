package damsonslip.platform.codec;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.BufferUtil;

/** Decodes what a worker or discovery answers: a head, then lines or a plain body. */
public final class ResponseReader implements HttpParser.ResponseHandler {
    private static final int MOST_HEADERS = 8 * 1024;

    /** What is read, as it comes; after {@link #ended} nothing more of the same answer. */
    public interface Listener {
        void head(int status, Map<String, String> fields);

        void body(byte[] part);

        /** The answer is whole; tells whether the connection may serve once more. */
        void ended(boolean persistent);

        /** The bytes are no answer. */
        void malformed(String why);
    }

    private final HttpParser parser = new HttpParser(this, MOST_HEADERS);
    private final Listener taker;
    private Map<String, String> fields = new HashMap<>();
    private int status;
    private boolean persistent;
    private boolean over;
    private boolean broken;

    public ResponseReader(Listener taker) {
        this.taker = taker;
    }

    /**
     * Takes bytes in. Guards against what comes behind an answer's end: nobody asked for it, and
     * the next answer could not be told from it, so that the connection must not serve again.
     */
    public void read(ByteBuffer bytes) {
        while (!broken && BufferUtil.hasContent(bytes)) {
            int before = bytes.remaining();
            parser.parseNext(bytes);
            if (over) {
                over = false;
                parser.reset();
                fields = new HashMap<>();
                if (status >= 200) {
                    taker.ended(persistent && !BufferUtil.hasContent(bytes));
                    return;
                }
            } else if (bytes.remaining() == before) {
                return;
            }
        }
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        persistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        String name = field.getName().toLowerCase(Locale.ROOT);
        String value = field.getValue() == null ? "" : field.getValue();
        if (name.equals("connection")) {
            persistent = !value.toLowerCase(Locale.ROOT).contains("close");
        }
        fields.put(name, value);
    }

    @Override
    public boolean headerComplete() {
        if (status >= 200) {
            taker.head(status, fields);
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        taker.body(bytes);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        over = true;
        return true;
    }

    @Override
    public void earlyEOF() {}

    @Override
    public void badMessage(HttpException failure) {
        broken = true;
        taker.malformed(failure.getReason() == null ? "not HTTP" : failure.getReason());
    }
}
