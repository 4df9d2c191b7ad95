package damsonslip.mgmt;

/**
 * One call, decoded.
 *
 * @param verb what is asked for
 * @param id   the worker that it concerns, or null
 */
record Call(Verb verb, String id) {
    /** The calls that there are, in the words of the wire. */
    enum Verb {
        READY(false), STATS(false), DISABLE(true), ENABLE(true), DRAIN(false), UNDRAIN(false);

        private final boolean ofWorker;

        Verb(boolean ofWorker) {
            this.ofWorker = ofWorker;
        }
    }

    /** A line that is no call; the message is for the caller. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    static Call read(String line) throws Malformed {
        String[] words = line.strip().split("[ \t]+");
        Verb verb = null;
        for (Verb known : Verb.values()) {
            verb = known.name().equals(words[0]) ? known : verb;
        }
        if (verb == null) {
            throw new Malformed("unknown call");
        }
        if (words.length != (verb.ofWorker ? 2 : 1)) {
            throw new Malformed(verb + (verb.ofWorker ? " takes the id of one worker" : " takes no words"));
        }
        return new Call(verb, verb.ofWorker ? words[1] : null);
    }
}
