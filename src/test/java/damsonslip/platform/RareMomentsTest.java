package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Workers that crash after accepting a connection, pipelined requests and bursts of mixed clients:
 * every request ends in time.
 */
class RareMomentsTest extends PlatformStage {
    /** The moment at which a worker crashes and its connections are reset. */
    enum Crash {
        BEFORE_THE_REQUEST {
            @Override
            Message on(Peer peer) throws IOException {
                peer.reset();
                return null;
            }
        },
        DURING_THE_REQUEST {
            @Override
            Message on(Peer peer) throws IOException {
                peer.line();
                peer.reset();
                return null;
            }
        },
        AFTER_THE_REQUEST {
            @Override
            Message on(Peer peer) throws IOException {
                Message job = peer.message();
                peer.reset();
                return job;
            }
        };

        /** Returns the job if it was received completely, else null. */
        abstract Message on(Peer peer) throws IOException;
    }

    /**
     * An answer may come half a second after the deadline; as much again is allowed for a busy
     * machine.
     */
    private static final long LATENESS_LIMIT_NS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final ExecutorService clients = Executors.newFixedThreadPool(40);
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    @AfterEach
    void endClients() {
        clients.shutdownNow();
    }

    private void countRun(Message job) {
        runs.computeIfAbsent(job.field("X-Correlation-Id"), id -> new AtomicInteger())
                .incrementAndGet();
    }

    private String crashingWorker(String id, Crash crash) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            Message job = crash.on(peer);
                            if (job != null) {
                                countRun(job);
                            }
                        });
        servers.add(server);
        return entry(id, server.port(), "ready");
    }

    /**
     * A request that is not repeatable runs at most once; a repeatable one is retried on another
     * worker.
     */
    @ParameterizedTest
    @EnumSource(Crash.class)
    void crashAfterAcceptCausesNoSecondRunAndNoMissingAnswer(Crash crash) throws Exception {
        Work serve =
                (peer, job) -> {
                    countRun(job);
                    SERVE.on(peer, job);
                };
        start(
                crashingWorker("a", crash),
                worker("b", serve),
                worker("c", serve),
                crashingWorker("d", crash),
                worker("e", serve),
                worker("f", serve));
        int served = 0;
        for (int i = 0; i < 12; i++) {
            long before = System.nanoTime();
            int status = exchange(requestText("once" + i, "submit", "1000m")).status();
            assertTrue(status == 200 || status == 502 || status == 503, "answered with " + status);
            served += status == 200 ? 1 : 0;
            assertEquals(
                    200,
                    exchange(requestText("safe" + i, "read", "2000m")).status(),
                    "a repeatable request is retried elsewhere");
            assertTrue(
                    System.nanoTime() - before < TimeUnit.SECONDS.toNanos(3) + LATENESS_LIMIT_NS,
                    "answered in time");
        }
        assertTrue(
                served >= 8,
                served
                        + " of 12 run-once requests served: crashing workers should be avoided"
                        + " after the first failures");
        runs.forEach(
                (id, count) ->
                        assertTrue(
                                id.startsWith("safe") || count.get() == 1, id + " ran " + count));
    }

    /**
     * The time of a pipelined request counts from its arrival. Guards against counting it from the
     * answer to the request before it.
     */
    @Test
    void answersPipelinedRequestsByTheirDeadline() throws Exception {
        start(worker("a", NO_RESPONSE), worker("b", NO_RESPONSE), worker("c", NO_RESPONSE));
        exchange(requestText("q0", "submit", "300m")); // the first one loads classes
        int pipelined = 5;
        StringBuilder text = new StringBuilder();
        IntStream.range(0, pipelined)
                .forEach(i -> text.append(requestText("p" + i, "submit", "800m")));
        long before = System.nanoTime();
        try (Peer client = Peer.connect(port).send(text.toString())) {
            for (int i = 0; i < pipelined; i++) {
                assertTrue(client.message().status() >= 500);
            }
        }
        long took = System.nanoTime() - before;
        assertTrue(
                took < TimeUnit.MILLISECONDS.toNanos(800) + LATENESS_LIMIT_NS,
                took / 1_000_000 + " ms");
    }

    /**
     * Sends a text and waits for this many answers; a closed connection counts as the end of all
     * the remaining ones. Returns the time taken.
     */
    private static long timeToEndNs(int port, String text, int answers) throws IOException {
        long before = System.nanoTime();
        try (Peer client = Peer.connect(port).send(text)) {
            for (int i = 0; i < answers; i++) {
                client.message();
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("no answer and no end: " + text, e);
        } catch (IOException e) {
            // the connection was closed, which ends the remaining requests
        }
        return System.nanoTime() - before;
    }

    /**
     * A burst of ordinary clients, clients that reset, that send half a request or that pipeline,
     * with workers that serve, stall and reset.
     */
    @Test
    void endsEveryRequestInTimeUnderMixedLoad() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        Work mixed =
                (peer, job) -> {
                    switch (turn.incrementAndGet() % 4) {
                        case 0 -> Thread.sleep(5_000);
                        case 1 -> peer.reset();
                        default -> SERVE.on(peer, job);
                    }
                };
        start(worker("a", mixed), worker("b", SERVE), worker("c", mixed));
        List<Future<Long>> all = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            String id = "q" + i;
            String lane = i % 2 == 0 ? "read" : "submit";
            String one = requestText(id, lane, "1500m");
            all.add(
                    clients.submit(
                            () ->
                                    switch (id.charAt(id.length() - 1)) {
                                        case '3' -> {
                                            Peer.connect(port).send(one).reset();
                                            yield 0L;
                                        }
                                        case '5', '6' ->
                                                timeToEndNs(
                                                        port,
                                                        one.substring(0, one.length() / 2),
                                                        1);
                                        case '7', '8' ->
                                                timeToEndNs(
                                                        port,
                                                        one
                                                                + requestText(
                                                                        id + "a", lane, "1500m")
                                                                + requestText(
                                                                        id + "b", lane, "1500m"),
                                                        3);
                                        default -> timeToEndNs(port, one, 1);
                                    }));
        }
        for (Future<Long> one : all) { // an incomplete request times out after two seconds
            long took = one.get(20, TimeUnit.SECONDS);
            assertTrue(
                    took < TimeUnit.MILLISECONDS.toNanos(2_000) + LATENESS_LIMIT_NS,
                    took / 1_000_000 + " ms");
        }
        program.terminate();
        assertEquals(143, program.exit());
        assertTrue(!program.output().contains("Exception"), program.output());
    }
}
