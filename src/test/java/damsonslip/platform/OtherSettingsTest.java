package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Settings that differ from the other tests': tenants, drain grace, semantics per service class,
 * registry mode, Retry-After.
 */
class OtherSettingsTest extends PlatformStage {
    private void startWith(String one, String other, String... entries) throws IOException {
        Path file = config(list(7, true, entries));
        Files.writeString(file, Files.readString(file).replace(one, other));
        program = new Program(file, "serve").awaitOutput("listens on");
    }

    private static String queryOfTenant(String tenant, String id) {
        return requestText(id, "read", "4000m")
                .replace("X-Time-Left", "X-Account: " + tenant + "\r\nX-Time-Left");
    }

    /**
     * Each tenant is admitted by its own quota, and a tenant that the settings do not define gets a
     * 400.
     */
    @Test
    void rejectsTenantOverQuotaWhileTenantWithinQuotaWaits() throws Exception {
        startWith(
                "\"lanes\"",
                "\"realms\":[{\"name\":\"large\",\"quota_per_s\":50},"
                        + "{\"name\":\"small\",\"quota_per_s\":1}],\"lanes\"",
                worker(
                        "a",
                        (peer, job) -> {
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(state(job, "started", ""));
                            Thread.sleep(30_000); // without "started" it would count as full
                        }));
        assertEquals(400, exchange(requestText("q1", "read", "4000m")).status());
        assertEquals(400, exchange(queryOfTenant("nobody", "q2")).status());
        Thread.sleep(1_100); // the quotas refill
        String wholeWorker =
                queryOfTenant("large", "l0")
                        .replace("X-Time-Left", "X-Facts: cores_needed=4\r\nX-Time-Left");
        try (Peer occupying = Peer.connect(port).send(wholeWorker);
                Peer waiting = Peer.connect(port)) {
            Program.await("the worker is full", () -> jobs("a") == 1);
            waiting.send(queryOfTenant("small", "s0"));
            assertTrue(waiting.silent(100), "a request within its tenant's quota waits");
            long before = System.nanoTime();
            assertEquals(503, exchange(queryOfTenant("small", "s1")).status());
            assertTrue(System.nanoTime() - before < 1_000_000_000L, "rejected at once");
            try (Peer large = Peer.connect(port).send(queryOfTenant("large", "l9"))) {
                assertTrue(large.silent(300), "a request within its tenant's quota waits");
            }
        }
    }

    /**
     * The drain grace comes from the settings, shorter or longer than usual: once it is over, a
     * draining worker gets no new job.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.25, 0.9})
    void usesDrainGraceFromSettings(double grace) throws Exception {
        String a = worker("a", SERVE);
        startWith("\"drain_grace_s\":0.5", "\"drain_grace_s\":" + grace, a, worker("b", SERVE));
        Program.await("a watch", () -> watches.size() == 1);
        listUpdates.add(list(8, false, a.replace("ready", "draining")));
        Thread.sleep((long) (grace * 1000));
        int before = jobs("a");
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    200,
                    exchange(requestText("q" + i, i % 2 == 0 ? "read" : "submit", "2000m"))
                            .status());
        }
        assertEquals(before, jobs("a"));
    }

    /**
     * The name of a service class implies nothing: here 'read' must run once, so it is not retried.
     */
    @Test
    void readsSemanticsFromSettingsNotFromClassName() throws Exception {
        startWith(
                "\"hard_limit_s\":5,\"semantics\":\"repeatable\"",
                "\"hard_limit_s\":5,\"semantics\":\"once\"",
                worker("a", CLOSE_CONNECTION),
                worker("b", CLOSE_CONNECTION));
        assertEquals(502, exchange(requestText("q1", "read", "1000m")).status());
        assertEquals(1, jobs("a", "b"));
    }

    /** An unknown registry mode is a configuration error; there is no default to fall back to. */
    @Test
    void unknownRegistryModeFailsStart() throws Exception {
        Path file = config(list(7, true));
        Files.writeString(file, Files.readString(file).replace("on_request", "gossip"));
        try (Program failing = new Program(file, "serve")) {
            assertEquals(1, failing.exit());
            assertEquals(
                    "damsonslip: settings: registry_mode: \"gossip\"", failing.output().strip());
        }
    }

    /** With {@code retry_after: false}, rejections carry no Retry-After field. */
    @Test
    void sendsRetryAfterOnlyWhereSettingsAllowIt() throws Exception {
        start();
        Message rejection = exchange(requestText("q1", "read", "1000m"));
        assertNotNull(rejection.field("Retry-After"));
        program.close();
        startWith("\"may_cancel\"", "\"retry_after\":false,\"may_cancel\"");
        assertNull(exchange(requestText("q1", "read", "1000m")).field("Retry-After"));
    }
}
