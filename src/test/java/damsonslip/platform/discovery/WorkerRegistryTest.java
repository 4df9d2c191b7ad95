package damsonslip.platform.discovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.config.SiteSettings;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.platform.codec.MalformedListException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The addresses and draining times of workers over a sequence of lists. */
class WorkerRegistryTest {
    private static final long MINUTE = 60_000_000;
    private static final String SETTINGS =
            """
            {"instances":1,"azs":["z"],"shapes":["k"],"registry_mode":"on_request",
            "guarantees":{"drain_grace_s":0.5},
            "lanes":[{"name":"read","aim_s":0.5,"hard_limit_s":5,
            "semantics":"repeatable","value":1}]}\
            """;

    private WorkerRegistry registry;
    private EndpointListDecoder decoder;
    private long now;

    @BeforeEach
    void settings() throws Exception {
        SiteSettings site = SiteSettings.read(new ObjectMapper().readTree(SETTINGS));
        registry = new WorkerRegistry(site.settings().guarantees().drainGraceUs());
        decoder = new EndpointListDecoder(site, registry::address);
    }

    private static String entry(String id, String lifecycle) {
        return "{\"instanceId\":\""
                + id
                + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"z\",\"machineType\":\"k\","
                + "\"cell\":0,\"lifecycle\":\""
                + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    private void list(boolean complete, String... entries) throws MalformedListException {
        registry.apply(
                decoder.decode(
                        "{\"generation\":1,\"reset\":"
                                + complete
                                + ",\"instances\":["
                                + String.join(",", entries)
                                + "]}"),
                now);
    }

    /** Guards against a leak: workers that are replaced daily must not accumulate in memory. */
    @Test
    void forgetsAddressOfWorkerRemovedLongAgo() throws Exception {
        list(true, entry("a", "ready"), entry("b", "ready"));
        list(true, entry("b", "ready"));
        now += 9 * MINUTE;
        list(false);
        assertNotNull(registry.address("a"));
        now += 2 * MINUTE;
        list(false);
        assertNull(registry.address("a"));
        assertNotNull(registry.address("b"));
        assertTrue(registry.maySend("b", now));
    }

    /** However long a worker drains, nothing is sent to it; once it is ready again, it is used. */
    @Test
    void sendsNothingToWorkerThatDrainsForLong() throws Exception {
        list(true, entry("a", "draining"));
        now += 20 * MINUTE;
        list(false);
        assertFalse(registry.maySend("a", now));
        list(false, entry("a", "ready"));
        assertTrue(registry.maySend("a", now));
    }
}
