package damsonslip.faktory.codec;

/**
 * An error reply to a command. Immutable.
 *
 * @param code the first word of the reply, by which clients distinguish errors
 * @param message the reason, in one line
 */
public record CommandError(Code code, String message) {
    /** The first word of an error reply. Sent under the names of the constants. */
    public enum Code {
        /** The command failed or cannot be carried out now. */
        ERR,
        /** A pushed job is not valid. */
        MALFORMED,
        /** The scheduler is shutting down. */
        SHUTDOWN,
        /** Another open job holds the lock of a unique job. */
        NOTUNIQUE
    }

    /** Creates an error with the code {@link Code#ERR}. */
    public static CommandError error(String message) {
        return new CommandError(Code.ERR, message);
    }

    /** The text of the error reply, without framing. */
    public String text() {
        return code + " " + message;
    }
}
