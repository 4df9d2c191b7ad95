package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.MalformedCommandException;
import damsonslip.faktory.codec.PushedJob;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The key of a unique job: a hash of its type, queue and arguments, by which Faktory's protocol
 * defines uniqueness.
 */
final class UniqueKey {
    private UniqueKey() {}

    static String keyOf(PushedJob job) {
        try {
            JsonNode arguments = Json.read(job.body()).path("args");
            String identity = job.jobtype() + "\n" + job.queue() + "\n" + arguments;
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha256.digest(identity.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (MalformedCommandException e) {
            throw new IllegalStateException("job body is not valid JSON", e);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
