package damsonslip.faktory;

import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.MalformedCommandException;
import damsonslip.faktory.codec.PushedJob;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The key of a unique job: a hash of its type, queue and arguments, which make it unique by
 * Faktory's protocol.
 */
final class UniqueKey {
    private UniqueKey() {}

    static String keyOf(PushedJob job) {
        try {
            String work =
                    job.jobtype() + "\n" + job.queue() + "\n" + Json.read(job.body()).path("args");
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(work.getBytes(StandardCharsets.UTF_8)));
        } catch (MalformedCommandException e) {
            throw new IllegalStateException("a body that was read before", e);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
