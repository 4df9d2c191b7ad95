package damsonslip.tools.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;

/**
 * A client that sends an incomplete or malformed request. The scheduler must answer with an error
 * or close the connection within 3 s.
 */
final class BadClient {
    private static final long ANSWER_LIMIT_US = 3 * Clock.SECOND;
    private static final long HARNESS_SLACK_US = 300 * Clock.MILLISECOND;
    private static final String HEAD = "POST /api HTTP/1.1\r\nHost: x\r\n";
    private static final String HEAD_WITH_ID = HEAD + "X-Correlation-Id: bad\r\nX-Service-Class: ";
    private static final List<String> BAD_REQUESTS =
            List.of(
                    "",
                    "POST /api HT",
                    HEAD + "X-Corr",
                    "\0\1\2\3\r\n\r\n",
                    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                    HEAD + "Content-Length: -5\r\n\r\n",
                    HEAD_WITH_ID + "none\r\nContent-Length: 0\r\n\r\n",
                    HEAD_WITH_ID + "once\r\nContent-Length: 50\r\n\r\nhalf");

    private BadClient() {}

    /** Sends one bad request chosen at random and checks the scheduler's response. */
    static void run(SchedulerProcess scheduler, Ledger ledger, Random random)
            throws InterruptedException {
        String text = BAD_REQUESTS.get(random.nextInt(BAD_REQUESTS.size()));
        long fromUs = Clock.nowUs();
        try (Wire wire = Wire.connect(scheduler.port())) {
            wire.timeout(ANSWER_LIMIT_US + HARNESS_SLACK_US);
            wire.send(text);
            Wire.Message answer = wire.read();
            if (answer != null && answer.status() < 400) {
                ledger.report(
                        "bad client served",
                        "-",
                        text.replace("\r\n", " | ") + " got " + answer.status());
            }
        } catch (java.net.SocketTimeoutException e) {
            ledger.report(
                    "bad client left waiting",
                    "-",
                    text.replace("\r\n", " | ")
                            + " for "
                            + (Clock.nowUs() - fromUs) / Clock.MILLISECOND
                            + " ms");
        } catch (IOException e) {
            // the scheduler closed the connection, which the rule allows
        }
    }
}
