package damsonslip.platform.worker;

import damsonslip.engine.Attempt;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLog;
import damsonslip.engine.EventLog.Kind;
import damsonslip.engine.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts, logs and records what happens on the connections to workers. */
final class WorkerStatistics {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerStatistics.class);

    private final Counters counters;
    private final EventLog events;
    private final EventLoop loop;

    WorkerStatistics(Counters counters, EventLog events, EventLoop loop) {
        this.counters = counters;
        this.events = events;
        this.loop = loop;
    }

    void connectionOpened() {
        counters.add(Count.SERVER_LINKS_OPENED);
    }

    void connectAbandoned() {
        counters.add(Count.SERVER_DIALS_GIVEN_UP);
    }

    void connectCloseFailed(String error) {
        LOG.warn("event=connect_close_failed error=\"{}\"", error);
    }

    void idleConnectionClosed() {
        counters.add(Count.SERVER_LINKS_CLOSED_IDLE);
    }

    void connectionEvicted() {
        counters.add(Count.SERVER_LINKS_CLOSED_FOR_ROOM);
    }

    void sendStoppedByDraining() {
        counters.add(Count.DRAINED_SENDS_STOPPED);
    }

    /**
     * The last byte of a request was written.
     *
     * @param attempt null if it ended while the request was being written
     */
    void requestWritten(Attempt attempt) {
        counters.add(Count.EXECUTIONS_WRITTEN);
        if (attempt != null) {
            events.add(
                    loop.nowUs(),
                    Kind.WRITTEN,
                    attempt.request().id(),
                    attempt.worker(),
                    attempt.number());
        }
    }

    void uploadStalled(String worker) {
        counters.add(Count.UPLOADS_GIVEN_UP);
        LOG.warn(
                "event=upload_stalled worker {} takes a request too slowly;"
                        + " the upload is aborted before its last byte",
                worker);
    }

    void uploadTooSlow(String worker, long estimatedUs) {
        counters.add(Count.UPLOADS_GIVEN_UP);
        LOG.info("event=upload_slow worker={} takes_us={}", worker, estimatedUs);
    }

    void responseMalformed(String worker, String reason) {
        LOG.warn("event=response_malformed worker={} error=\"{}\"", worker, reason);
    }
}
