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

/** Encodes complete HTTP messages with Jetty's generator: a head buffer and a body buffer. */
final class MessageEncoder {
    private static final int HEAD_BUFFER_BYTES = 2 * WireFormat.MAX_HEADER_BYTES;

    private MessageEncoder() {}

    static ByteBuffer[] request(String method, String target, HttpFields fields, byte[] body) {
        MetaData.Request request =
                new MetaData.Request(
                        method, HttpURI.from(target), HttpVersion.HTTP_1_1, fields, body.length);
        ByteBuffer head = BufferUtil.allocate(HEAD_BUFFER_BYTES);
        ByteBuffer content = ByteBuffer.wrap(body);
        try {
            HttpGenerator generator = new HttpGenerator();
            checkEncoded(generator.generateRequest(request, head, null, content, true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new ByteBuffer[] {head, content};
    }

    static ByteBuffer[] response(int status, HttpFields fields, byte[] body) {
        MetaData.Response response =
                new MetaData.Response(
                        status,
                        HttpStatus.getMessage(status),
                        HttpVersion.HTTP_1_1,
                        fields,
                        body.length);
        ByteBuffer head = BufferUtil.allocate(HEAD_BUFFER_BYTES);
        ByteBuffer content = ByteBuffer.wrap(body);
        try {
            HttpGenerator generator = new HttpGenerator();
            checkEncoded(generator.generateResponse(response, false, head, null, content, true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new ByteBuffer[] {head, content};
    }

    private static void checkEncoded(HttpGenerator.Result result) {
        if (result != HttpGenerator.Result.FLUSH) {
            throw new IllegalStateException("not encoded: " + result);
        }
    }
}
