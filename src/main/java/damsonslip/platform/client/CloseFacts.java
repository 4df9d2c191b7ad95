package damsonslip.platform.client;

import damsonslip.engine.Request;
import damsonslip.engine.RequestContext;
import damsonslip.engine.invariants.CloseGuard;

/** Describes the close of a client's connection to the guard on closes. */
final class CloseFacts {
    private CloseFacts() {}

    /**
     * Returns the facts of a close.
     *
     * @param received a complete request that was not submitted, or null
     * @param context the request that is being processed, or null
     */
    static CloseGuard.Facts of(
            Request received, RequestContext context, boolean closedByPeer, boolean lingering) {
        String reason =
                closedByPeer ? "the client has ended it" : lingering ? "said goodbye" : "given up";
        if (received != null) {
            return new CloseGuard.Facts(received.id(), true, closedByPeer, reason);
        }
        if (context != null) {
            boolean pending = !context.isClosed();
            return new CloseGuard.Facts(context.request().id(), pending, closedByPeer, reason);
        }
        return new CloseGuard.Facts("", false, closedByPeer, reason);
    }
}
