package damsonslip.platform.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/** Encodes whole messages with Jetty's generator. */
public final class MessageEncoder {
    private static final int HEAD = 2 * WireFormat.MOST_HEADERS;

    private MessageEncoder() {}

    /** The bytes of a request. */
    public static ByteBuffer[] request(
            String method, String target, HttpFields fields, byte[] body) {
        MetaData.Request request =
                new MetaData.Request(
                        method, HttpURI.from(target), HttpVersion.HTTP_1_1, fields, body.length);
        ByteBuffer head = BufferUtil.allocate(HEAD);
        try {
            ByteBuffer content = ByteBuffer.wrap(body);
            expectFlush(new HttpGenerator().generateRequest(request, head, null, content, true));
            return new ByteBuffer[] {head, content};
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The bytes of an answer. */
    public static ByteBuffer[] answer(int status, HttpFields fields, byte[] body) {
        MetaData.Response response =
                new MetaData.Response(
                        status,
                        HttpStatus.getMessage(status),
                        HttpVersion.HTTP_1_1,
                        fields,
                        body.length);
        ByteBuffer head = BufferUtil.allocate(HEAD);
        try {
            ByteBuffer content = ByteBuffer.wrap(body);
            expectFlush(
                    new HttpGenerator()
                            .generateResponse(response, false, head, null, content, true));
            return new ByteBuffer[] {head, content};
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void expectFlush(HttpGenerator.Result result) {
        if (result != HttpGenerator.Result.FLUSH) {
            throw new IllegalStateException("not encoded: " + result);
        }
    }
}
