package damsonslip.faktory;

import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Reply;
import java.util.Optional;

/**
 * Called once the store has recorded the change that a command made, or with an error if the
 * command was rejected or the store failed.
 */
@FunctionalInterface
interface CommandCallback {
    /** Does nothing; for changes whose result no peer waits for. */
    CommandCallback IGNORE = error -> {};

    void completed(Optional<CommandError> error);

    default void succeeded() {
        completed(Optional.empty());
    }

    default void failed(CommandError error) {
        completed(Optional.of(error));
    }

    /** Replies with OK or with the error. */
    static CommandCallback replyTo(FaktoryConnection connection) {
        return error -> connection.reply(error.isPresent() ? Reply.error(error.get()) : Reply.ok());
    }
}
