package damsonslip.faktory;

import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.Malformed;
import damsonslip.faktory.codec.Pushed;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** What makes two jobs the same work: the protocol has it that type, queue and arguments do. */
final class Unique {
    private Unique() { }

    static String key(Pushed job) {
        try {
            String work = job.jobtype() + "\n" + job.queue() + "\n" + Json.read(job.body()).path("args");
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256")
                .digest(work.getBytes(StandardCharsets.UTF_8)));
        } catch (Malformed e) {
            throw new IllegalStateException("a body that was read before", e);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
