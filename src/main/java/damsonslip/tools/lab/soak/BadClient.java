package damsonslip.tools.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;

/**
 * A client that breaks off, dawdles or sends nonsense; it is owed an error or a close within 3 s.
 */
final class BadClient {
    private static final long OWED_US = 3 * Clock.SECOND;
    private static final long HARNESS_US = 300 * Clock.MILLISECOND;
    private static final String HEAD = "POST /api HTTP/1.1\r\nHost: x\r\n";
    private static final String NAMED = HEAD + "X-Correlation-Id: bad\r\nX-Service-Class: ";
    private static final List<String> NONSENSE =
            List.of(
                    "",
                    "POST /api HT",
                    HEAD + "X-Corr",
                    "\0\1\2\3\r\n\r\n",
                    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                    HEAD + "Content-Length: -5\r\n\r\n",
                    NAMED + "none\r\nContent-Length: 0\r\n\r\n",
                    NAMED + "once\r\nContent-Length: 50\r\n\r\nhalf");

    private BadClient() {}

    /** Sends one of these, and waits for what it is owed. */
    static void trouble(SchedulerProcess scheduler, Ledger ledger, Random random)
            throws InterruptedException {
        String text = NONSENSE.get(random.nextInt(NONSENSE.size()));
        long fromUs = Clock.nowUs();
        try (Wire wire = Wire.connect(scheduler.port())) {
            wire.timeout(OWED_US + HARNESS_US);
            wire.send(text);
            Wire.Message answer = wire.read();
            if (answer != null && answer.status() < 400) {
                ledger.find(
                        "bad client served",
                        "-",
                        text.replace("\r\n", " | ") + " got " + answer.status());
            }
        } catch (java.net.SocketTimeoutException e) {
            ledger.find(
                    "bad client left waiting",
                    "-",
                    text.replace("\r\n", " | ")
                            + " for "
                            + (Clock.nowUs() - fromUs) / Clock.MILLISECOND
                            + " ms");
        } catch (IOException e) {
            // the end of its connection, which it is owed
        }
    }
}
