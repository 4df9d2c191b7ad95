package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * A command from a producer, a worker or an operator, decoded by {@link CommandDecoder}. Immutable.
 */
public sealed interface Command {
    /** Calls the visitor's method for this type of command. */
    <C> void accept(Visitor<C> visitor, C context);

    /**
     * Returns the memory that the command takes until its reply beside its text, in bytes, if that
     * may be many times the text's size.
     */
    default int decodedBytes() {
        return 0;
    }

    /**
     * Handles commands, with one method for each type.
     *
     * @param <C> the type of the context that is passed along with the command
     */
    interface Visitor<C> {
        /** Handles {@link Hello}. */
        void visit(Hello command, C context);

        /** Handles {@link Push}. */
        void visit(Push command, C context);

        /** Handles {@link Fetch}. */
        void visit(Fetch command, C context);

        /** Handles {@link Ack}. */
        void visit(Ack command, C context);

        /** Handles {@link Fail}. */
        void visit(Fail command, C context);

        /** Handles {@link Heartbeat}. */
        void visit(Heartbeat command, C context);

        /** Handles {@link TrackGet}. */
        void visit(TrackGet command, C context);

        /** Handles {@link TrackSet}. */
        void visit(TrackSet command, C context);

        /** Handles {@link Info}. */
        void visit(Info command, C context);

        /** Handles {@link End}. */
        void visit(End command, C context);

        /** Handles {@link Flush}. */
        void visit(Flush command, C context);

        /** Handles {@link Mutate}. */
        void visit(Mutate command, C context);

        /** Handles {@link Queue}. */
        void visit(Queue command, C context);

        /** Handles {@link BatchNew}. */
        void visit(BatchNew command, C context);

        /** Handles {@link BatchOpen}. */
        void visit(BatchOpen command, C context);

        /** Handles {@link BatchCommit}. */
        void visit(BatchCommit command, C context);

        /** Handles {@link BatchStatus}. */
        void visit(BatchStatus command, C context);
    }

    /**
     * The first command of each connection.
     *
     * @param version the version of the protocol
     * @param wid the worker's id; empty for a producer
     * @param process the worker's host and process id, by which a restarted worker is recognised
     * @param passwordHash the salted hash of the password; empty if none was sent
     * @param labels the worker's labels, among them its zone and kind
     */
    record Hello(int version, String wid, String process, String passwordHash, List<String> labels)
            implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /**
     * Pushes jobs.
     *
     * @param bulk whether it is PUSHB, whose reply lists the errors by job
     */
    record Push(List<JsonNode> jobs, boolean bulk) implements Command {
        /** What a job takes while it is written to the store. */
        private static final int BYTES_PER_JOB = 1_024;

        @Override
        public int decodedBytes() {
            return jobs.size() * BYTES_PER_JOB;
        }

        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** A worker has a free slot and requests a job from the first of these queues that has one. */
    record Fetch(List<String> queues) implements Command {
        private static final int BYTES_PER_NAME = 64;

        @Override
        public int decodedBytes() {
            return queues.size() * BYTES_PER_NAME;
        }

        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** A worker reports that a job has succeeded. */
    record Ack(String jid) implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** A worker reports that a job has failed; the error is as the worker describes it. */
    record Fail(String jid, String type, String message, List<String> backtrace)
            implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /**
     * A worker's heartbeat (BEAT).
     *
     * @param state the worker's state, such as quiet; empty in normal operation
     * @param rssKb the worker's resident memory in KiB; 0 if it reports none
     */
    record Heartbeat(String wid, String state, long rssKb) implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Queries a job's state. */
    record TrackGet(String jid) implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /**
     * Reports a job's progress.
     *
     * @param reserveUntilMs the time to which the reservation is to be extended, in milliseconds
     *     since the Unix epoch; 0 for no extension
     */
    record TrackSet(String jid, int percent, String description, long reserveUntilMs)
            implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Queries the server's state. */
    record Info() implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Ends the connection. */
    record End() implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Removes all jobs that are not running. */
    record Flush() implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** An operator's change to the jobs of one set. */
    record Mutate(Mutate.Verb verb, Target target, Filter filter) implements Command {
        /** What to do with the jobs. */
        public enum Verb {
            CLEAR,
            KILL,
            DISCARD,
            REQUEUE
        }

        /** The set to change. */
        public enum Target {
            SCHEDULED,
            RETRIES,
            DEAD
        }

        /**
         * Selects jobs of the set; an empty component matches every job.
         *
         * @param glob a pattern for the whole JSON text of a job
         */
        public record Filter(String jobtype, List<String> jids, String glob) {}

        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** An operator's change to queues; {@code *} among the names stands for all queues. */
    record Queue(Queue.Verb verb, List<String> names) implements Command {
        /** What to do with the queues. */
        public enum Verb {
            PAUSE,
            RESUME,
            REMOVE
        }

        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /**
     * Creates a batch.
     *
     * @param parent the id of the enclosing batch; empty if there is none
     * @param success the job to push as the success callback; null if there is none
     * @param complete the job to push as the completion callback; null if there is none
     */
    record BatchNew(String parent, String description, JsonNode success, JsonNode complete)
            implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Reopens a batch for further jobs. */
    record BatchOpen(String bid) implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Commits a batch, to which no more jobs are pushed. */
    record BatchCommit(String bid) implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }

    /** Queries a batch's state. */
    record BatchStatus(String bid) implements Command {
        @Override
        public <C> void accept(Visitor<C> visitor, C context) {
            visitor.visit(this, context);
        }
    }
}
