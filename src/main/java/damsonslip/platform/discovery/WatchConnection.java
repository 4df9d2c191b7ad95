package damsonslip.platform.discovery;

import damsonslip.engine.EventLoop;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.platform.codec.JsonObjectDecoder;
import damsonslip.platform.codec.MalformedListException;
import damsonslip.platform.codec.OutboundRequests;
import damsonslip.platform.codec.ResponseHead;
import damsonslip.platform.codec.ResponseReader;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;

/**
 * One watch on discovery: a connection with a single request, whose response never ends and carries
 * the endpoint list and the changes to it.
 */
final class WatchConnection extends EventLoopConnection implements ResponseReader.Listener {
    /**
     * After this time without data the watch has failed: discovery sends an empty line every two
     * seconds if nothing changes.
     */
    private static final long MAX_SILENCE_US = 3_500_000;

    private static final int MAX_OBJECT_BYTES = 4 * 1024 * 1024;

    /**
     * The rate at which a response's head or an object has to arrive once it has begun: with single
     * bytes now and then a watch is not silent, but the list would arrive too late.
     */
    private static final MinimumDataRate.Limits ARRIVAL_RATE =
            new MinimumDataRate.Limits(MAX_SILENCE_US, MAX_SILENCE_US, 4 * 1024);

    /** Receives what happens to a watch; called on the event loop. */
    interface Listener {
        /**
         * The connection is up.
         *
         * @return whether the watch is still wanted
         */
        boolean watchOpened(WatchConnection watch);

        /** The generation after which changes are requested; 0 requests the complete list. */
        long lastGeneration();

        /** A list or changes to it were received. */
        void listReceived(EndpointList list, long receivedUs);

        /**
         * The watch has failed; not called if this scheduler closed it for another reason.
         *
         * @param lastReceivedUs when something was last received
         */
        void watchFailed(String reason, WorkerListChange loss, long lastReceivedUs);

        /** The connection is closed, by either side. */
        void watchClosed();
    }

    private final EventLoop loop;
    private final Listener listener;
    private final EndpointListDecoder decoder;
    private final ResponseReader reader = new ResponseReader(this);
    private final JsonObjectDecoder objects = new JsonObjectDecoder(MAX_OBJECT_BYTES);
    private final MinimumDataRate arrivalRate = new MinimumDataRate(ARRIVAL_RATE);

    /** The response's head; null until it was read. */
    private ResponseHead head;

    private EventLoop.Timer silenceTimer;
    private long lastReceivedUs;

    WatchConnection(
            EndPoint endPoint, EventLoop loop, Listener listener, EndpointListDecoder decoder) {
        super(endPoint, loop);
        this.loop = loop;
        this.listener = listener;
        this.decoder = decoder;
    }

    @Override
    protected void opened() {
        if (!listener.watchOpened(this)) {
            closeNow();
            return;
        }
        restartSilenceTimer();
        arrivalRate.begin(loop.nowUs());
        write(() -> {}, OutboundRequests.watch(listener.lastGeneration()));
    }

    /**
     * Restarts the limit on silence. Bytes count as received when they arrived, not when they are
     * read.
     */
    private void restartSilenceTimer() {
        lastReceivedUs = arrivedAfterUs();
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        silenceTimer = loop.scheduleAfter(MAX_SILENCE_US, this::checkSilence);
    }

    /** Reads first what may have arrived while the event loop was blocked. */
    private void checkSilence() {
        EventLoop.Timer due = silenceTimer;
        readAvailable();
        if (isUnchanged(due)) {
            fail("it is silent", WorkerListChange.SILENT);
        }
    }

    @SuppressWarnings("ReferenceEquality") // the same timer, not an equal one
    private boolean isUnchanged(EventLoop.Timer due) {
        return silenceTimer == due;
    }

    @Override
    protected void received(ByteBuffer bytes) {
        restartSilenceTimer();
        arrivalRate.transferred(loop.nowUs(), bytes.remaining());
        reader.read(bytes);
        if (head != null && !objects.isMidObject()) {
            arrivalRate.end();
        } else {
            arrivalRate.begin(loop.nowUs());
        }
        if (arrivalRate.isTooSlow(loop.nowUs())) {
            fail("it trickles", WorkerListChange.FAILED);
        }
    }

    @Override
    public void responseStarted(ResponseHead responseHead) {
        head = responseHead;
    }

    @Override
    public void contentReceived(byte[] part) {
        if (!head.isOk() || isClosed()) {
            return;
        }
        List<String> complete = objects.decode(part);
        if (complete == null) {
            fail("host group: not JSON, or without end", WorkerListChange.FAILED);
            return;
        }
        for (String object : complete) {
            if (!isClosed()) {
                receiveList(object);
            }
        }
    }

    private void receiveList(String json) {
        try {
            listener.listReceived(decoder.decode(json), arrivedAfterUs());
        } catch (MalformedListException e) {
            fail(e.getMessage(), WorkerListChange.FAILED);
        }
    }

    @Override
    public void responseCompleted(boolean reusable) {
        fail("it ended with status " + head.status(), WorkerListChange.FAILED);
    }

    @Override
    public void responseMalformed(String reason) {
        fail(reason, WorkerListChange.FAILED);
    }

    private void fail(String reason, WorkerListChange loss) {
        if (!isClosed()) {
            closeNow();
            listener.watchFailed(reason, loss, lastReceivedUs);
        }
    }

    @Override
    protected void connectionLost() {
        listener.watchFailed("the connection broke", WorkerListChange.FAILED, arrivedAfterUs());
    }

    @Override
    protected void connectionClosed() {
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        listener.watchClosed();
    }
}
