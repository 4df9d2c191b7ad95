package damsonslip.cli;

import damsonslip.engine.EventLoop;
import damsonslip.transport.LimitedAcceptor;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The ports for operators, which serve until the process ends. Thread-safe; connections are used on
 * the event loop.
 */
final class OperatorPorts {
    /** Operators' tools expect a response within this time. */
    private static final long RESPONSE_TIMEOUT_MS = 1_000;

    private static final long POLL_INTERVAL_US = 10_000;

    private final EventLoop loop;
    private final List<LimitedAcceptor<?>> ports = new CopyOnWriteArrayList<>();

    OperatorPorts(EventLoop loop) {
        this.loop = loop;
    }

    void add(LimitedAcceptor<?> port) {
        ports.add(port);
    }

    /**
     * Closes the connections once all requests that have arrived are answered, and waits for the
     * responses, up to the time that operators' tools would.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    void close() throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        loop.execute(
                () -> {
                    ports.forEach(LimitedAcceptor::closeConnections);
                    loop.execute(() -> pollUntilAnswered(answered));
                });
        answered.await(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void pollUntilAnswered(CountDownLatch answered) {
        if (ports.stream().anyMatch(LimitedAcceptor::owesResponses)) {
            loop.scheduleAfter(POLL_INTERVAL_US, () -> pollUntilAnswered(answered));
        } else {
            answered.countDown();
        }
    }
}
