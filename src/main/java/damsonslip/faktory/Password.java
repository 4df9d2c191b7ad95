package damsonslip.faktory;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * The password of the Faktory front. A peer proves that it knows it by an iterated hash of password
 * and salt, so that the password itself never crosses the wire. Immutable.
 *
 * @param text the password; empty if none is required
 */
record Password(String text) {
    /** Iterations of the hash, which the greeting announces. */
    static final int ITERATIONS = 1735;

    private static final SecureRandom RANDOM = new SecureRandom();

    boolean isRequired() {
        return !text.isEmpty();
    }

    /** A new random salt, for one connection. */
    static String salt() {
        return Long.toHexString(RANDOM.nextLong());
    }

    /** The iterated SHA-256 hash of password and salt, in hexadecimal. */
    String hash(String salt) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha256.digest((text + salt).getBytes(StandardCharsets.UTF_8));
            for (int i = 1; i < ITERATIONS; i++) {
                hash = sha256.digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** Whether the hash is the one of this salt; compares in constant time. */
    boolean verify(String salt, String passwordHash) {
        return MessageDigest.isEqual(
                hash(salt).getBytes(StandardCharsets.US_ASCII),
                passwordHash.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public String toString() {
        return "Password[" + (isRequired() ? "set" : "none") + "]";
    }
}
