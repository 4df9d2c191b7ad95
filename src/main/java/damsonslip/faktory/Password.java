package damsonslip.faktory;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * The password of the Faktory frontend. A peer proves its knowledge of the password with an
 * iterated hash of password and salt, so that the password itself is never sent. Immutable.
 *
 * @param text the password; empty if none is required
 */
record Password(String text) {
    /** The number of iterations of the hash, which is announced in HI. */
    static final int ITERATIONS = 1735;

    private static final SecureRandom RANDOM = new SecureRandom();

    boolean isRequired() {
        return !text.isEmpty();
    }

    /** Returns a new random salt for one connection. */
    static String salt() {
        return Long.toHexString(RANDOM.nextLong());
    }

    /** Returns the iterated SHA-256 hash of password and salt, in hexadecimal. */
    String hash(String salt) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha256.digest((text + salt).getBytes(StandardCharsets.UTF_8));
            for (int i = 1; i < ITERATIONS; i++) {
                hash = sha256.digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Whether a hash matches the password with this salt; compares in constant time. */
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
