package damsonslip.faktory.codec;

/**
 * An error reply to a command. Immutable.
 *
 * @param code the first word of the reply, by which clients tell errors apart
 * @param message what went wrong, in one line
 */
public record CommandError(Code code, String message) {
    /** The first word of an error reply. The constants' names are those on the wire. */
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

    /** An error of the code {@link Code#ERR}. */
    public static CommandError error(String message) {
        return new CommandError(Code.ERR, message);
    }

    /** The text of the error reply. */
    public String text() {
        return code + " " + message;
    }
}
