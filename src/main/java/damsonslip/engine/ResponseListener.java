package damsonslip.engine;

/** The client side of one request, implemented by a front. Called on the {@link EventLoop}. */
public interface ResponseListener {
    /** Takes the final response; called at most once, and never after the client disconnected. */
    void respond(Response response);

    /**
     * Reads the input that is pending on the client's connection, and reports a disconnect before
     * it returns. An attempt must not start for a client that has disconnected while the loop was
     * busy.
     */
    default void readPendingInput() {}
}
