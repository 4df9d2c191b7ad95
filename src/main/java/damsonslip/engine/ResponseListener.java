package damsonslip.engine;

/** The client side of one query: a port that a front implements. */
public interface ResponseListener {
    /** Takes the final answer; called once at the most, and never after the client has gone. */
    void answer(Response answer);

    /**
     * Takes in what has come from the client and was not read yet; a departure is told before the
     * call returns. Guards against a loop that was held up: an attempt must not begin for a client
     * whose close is there to be read.
     */
    default void readPending() {}
}
