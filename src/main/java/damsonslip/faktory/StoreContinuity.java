package damsonslip.faktory;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.store.AsyncStore;
import damsonslip.store.StoreOperation;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that the store has lost data: emptied, replaced, or restored from an older copy. Every
 * second a number in the store is increased; if it is lower than one that the store had
 * acknowledged, or absent, later writes may be missing as well. Confined to the event loop.
 */
final class StoreContinuity {
    private static final Logger LOG = LoggerFactory.getLogger(StoreContinuity.class);

    private static final String METADATA_KIND = "store";
    private static final String HEARTBEAT = "heartbeat";
    private static final long INTERVAL_US = 1_000_000;

    /**
     * How much of its latest writes a store may lose in a crash without losing the heartbeat: Redis
     * makes them durable once a second by default.
     */
    private static final long UNSYNCED_WRITES_MS = 5_000;

    private static final long NONE = 0;

    /** What is done about lost data. */
    interface Listener {
        /** The store has lost data of an unknown extent. */
        void dataLost();

        /** The store is back after an outage; writes since this time may be missing. */
        void backAfterOutage(long sinceMs);
    }

    private final EventLoop loop;
    private final AsyncStore store;
    private final Counters counters;
    private final Listener listener;

    /** The highest number that the store has acknowledged or returned. */
    private long acknowledged = NONE;

    private long acknowledgedMs;

    StoreContinuity(EventLoop loop, AsyncStore store, Counters counters, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.counters = counters;
        this.listener = listener;
    }

    /** Starts to check, until the loop is stopped. */
    void start() {
        acknowledgedMs = nowMs();
        store.onAvailable(this::backAfterOutage);
        check();
    }

    private long nowMs() {
        return TimeUnit.MICROSECONDS.toMillis(loop.nowUs());
    }

    private void backAfterOutage() {
        listener.backAfterOutage(acknowledgedMs - UNSYNCED_WRITES_MS);
    }

    private void check() {
        store.submit(
                new StoreOperation.GetMetadata(METADATA_KIND),
                values -> compare(parse(values.get(HEARTBEAT))),
                this::checkLater);
    }

    private static long parse(String number) {
        try {
            return number == null ? NONE : Long.parseLong(number);
        } catch (NumberFormatException e) {
            return NONE;
        }
    }

    private void compare(long stored) {
        if (stored < acknowledged) {
            counters.add(Count.STORE_DATA_LOST);
            LOG.error(
                    "event=store_data_lost heartbeat={} acknowledged={} the store has lost data;"
                            + " writing again what is known here",
                    stored,
                    acknowledged);
            listener.dataLost();
        }
        acknowledged = Math.max(acknowledged, stored);
        long next = acknowledged + 1;
        store.putMetadata(
                METADATA_KIND,
                HEARTBEAT,
                Long.toString(next),
                () -> {
                    acknowledged = next;
                    acknowledgedMs = nowMs();
                    checkLater();
                },
                this::checkLater);
    }

    private void checkLater() {
        loop.scheduleAfter(INTERVAL_US, this::check);
    }
}
