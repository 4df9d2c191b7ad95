package damsonslip.engine;

/** The client side of one request, implemented by a frontend; called on the {@link EventLoop}. */
public interface ResponseListener {
    /** Receives the final response; called at most once, and never after a disconnect. */
    void respond(Response response);

    /**
     * Reads the pending input of the client's connection and reports a disconnect before returning,
     * so that no attempt starts for a client that disconnected while the loop was busy.
     */
    default void readPendingInput() {}
}
