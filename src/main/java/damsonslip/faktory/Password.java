package damsonslip.faktory;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/** The proof that a peer knows the password, which itself never crosses the wire. */
record Password(String text) {
    static final int ROUNDS = 1735;
    private static final SecureRandom RANDOM = new SecureRandom();

    boolean isRequired() {
        return !text.isEmpty();
    }

    static String salt() {
        return Long.toHexString(RANDOM.nextLong());
    }

    /** SHA-256 of password and salt, hashed over and over. */
    String hash(String salt) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha.digest((text + salt).getBytes(StandardCharsets.UTF_8));
            for (int i = 1; i < ROUNDS; i++) {
                hash = sha.digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    boolean verify(String salt, String given) {
        return MessageDigest.isEqual(
                hash(salt).getBytes(StandardCharsets.US_ASCII),
                given.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public String toString() {
        return "Password[" + (isRequired() ? "set" : "none") + "]";
    }
}
