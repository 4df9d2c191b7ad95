package damsonslip.admin.management;

/**
 * A decoded request of the management protocol.
 *
 * @param verb the operation
 * @param workerId the worker to which it applies; null for a verb that takes none
 */
record ManagementRequest(Verb verb, String workerId) {
    /** The verbs, spelled as on the wire. */
    enum Verb {
        READY(false),
        STATS(false),
        DISABLE(true),
        ENABLE(true),
        DRAIN(false),
        UNDRAIN(false);

        private final boolean takesWorkerId;

        Verb(boolean takesWorkerId) {
            this.takesWorkerId = takesWorkerId;
        }
    }

    /** A line that is not a valid request; the message is sent to the caller. */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /** Decodes a line; leading, trailing and repeated white space is ignored. */
    static ManagementRequest decode(String line) throws MalformedException {
        String[] words = line.strip().split("[ \t]+", 0);
        Verb verb = null;
        for (Verb known : Verb.values()) {
            verb = known.name().equals(words[0]) ? known : verb;
        }
        if (verb == null) {
            throw new MalformedException("unknown call");
        }
        if (words.length != (verb.takesWorkerId ? 2 : 1)) {
            throw new MalformedException(
                    verb
                            + (verb.takesWorkerId
                                    ? " takes the id of one worker"
                                    : " takes no words"));
        }
        return new ManagementRequest(verb, verb.takesWorkerId ? words[1] : null);
    }
}
