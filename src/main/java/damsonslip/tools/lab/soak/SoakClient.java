package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.Ledger.Effect;
import damsonslip.tools.lab.soak.Ledger.End;
import damsonslip.tools.lab.soak.Ledger.Request;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that sends one request after another, each to a random scheduler, on reused and on new
 * connections.
 */
final class SoakClient {
    /**
     * An answer may arrive this long after the request's time is up; later, the request counts as
     * lost (STANDING).
     */
    static final long LATE_US = Clock.SECOND / 2;

    private static final long HARNESS_SLACK_US = 300 * Clock.MILLISECOND;
    private static final long PAUSE_US = 40 * Clock.MILLISECOND;
    private static final long UNREACHABLE_US = 100 * Clock.MILLISECOND;

    private final String name;
    private final List<SchedulerProcess> schedulers;
    private final Ledger ledger;
    private final Random random;
    private final AtomicInteger disconnectPercent;
    private final Map<Integer, Wire> kept = new HashMap<>();
    private int count;

    SoakClient(
            String name,
            List<SchedulerProcess> schedulers,
            Ledger ledger,
            long seed,
            AtomicInteger disconnectPercent) {
        this.name = name;
        this.schedulers = schedulers;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.disconnectPercent = disconnectPercent;
    }

    void run(long untilUs) throws InterruptedException {
        while (Clock.nowUs() < untilUs) {
            int scheduler = random.nextInt(schedulers.size());
            Request request =
                    new Request(
                            name + "-" + ++count,
                            scheduler,
                            Effect.values()[random.nextInt(3)],
                            (500 + random.nextInt(2_000)) * Clock.MILLISECOND);
            ledger.add(request);
            Wire wire = kept.remove(scheduler);
            boolean onKept = wire != null;
            try {
                if (wire == null) {
                    wire = Wire.connect(schedulers.get(scheduler).port());
                }
                send(wire, request, onKept);
            } catch (IOException e) {
                request.end = End.NOT_SENT;
                Clock.sleepUs(UNREACHABLE_US);
            }
            Clock.sleepUs((long) (PAUSE_US * random.nextDouble()));
        }
    }

    private void send(Wire wire, Request request, boolean onKept)
            throws IOException, InterruptedException {
        try {
            write(wire, request);
        } catch (IOException e) {
            request.end = End.NOT_SENT;
            wire.close();
            return;
        }
        request.sentUs = Clock.nowUs();
        if (random.nextInt(100) < disconnectPercent.get()) {
            Clock.sleepUs((long) (random.nextDouble() * 100 * Clock.MILLISECOND));
            request.disconnectedUs = Clock.nowUs();
            request.end = End.LEFT;
            if (random.nextBoolean()) {
                wire.close();
            } else {
                wire.reset();
            }
            return;
        }
        answer(wire, request, onKept);
    }

    private void write(Wire wire, Request request) throws IOException, InterruptedException {
        String key =
                request.effect == Effect.KEYED ? "Idempotency-Key: k-" + request.id + "\r\n" : "";
        String text =
                "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "
                        + request.id
                        + "\r\nX-Service-Class: "
                        + request.effect.name().toLowerCase(java.util.Locale.ROOT)
                        + "\r\nX-Time-Left: "
                        + request.timeLeftUs / Clock.MILLISECOND
                        + "m\r\n"
                        + key
                        + "Content-Length: 4\r\n\r\nbody";
        request.beganUs = Clock.nowUs();
        if (random.nextInt(10) == 0) {
            wire.sendInPieces(text, 4, 3 * Clock.MILLISECOND);
        } else {
            wire.send(text);
        }
    }

    private void answer(Wire wire, Request request, boolean onKept) throws IOException {
        wire.timeout(request.timeLeftUs + LATE_US + HARNESS_SLACK_US);
        try {
            Wire.Message answer = wire.read();
            request.endedUs = Clock.nowUs();
            if (answer == null) {
                request.end = onKept ? End.CLOSED_KEPT : End.CLOSED_NEW;
                wire.close();
                return;
            }
            request.end = End.ANSWERED;
            request.status = answer.status();
            request.result = answer.text();
            if ("close".equals(answer.field("Connection"))) {
                wire.close();
            } else {
                kept.put(request.scheduler, wire);
            }
        } catch (SocketTimeoutException e) {
            request.endedUs = Clock.nowUs();
            request.end = End.UNANSWERED;
            wire.close();
        } catch (IOException e) {
            request.endedUs = Clock.nowUs();
            request.end = onKept ? End.CLOSED_KEPT : End.CLOSED_NEW;
            wire.close();
        }
    }
}
