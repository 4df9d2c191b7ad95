package damsonslip.platform.discovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.config.SiteSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Addresses of workers, as lists come and go. */
class WorkerRegistryTest {
    private static final long MINUTE = 60_000_000;
    private static final String SETTINGS =
            """
            {"instances":1,"azs":["z"],"shapes":["k"],"registry_mode":"on_request","guarantees":{"drain_grace_s":0.5},
            "lanes":[{"name":"read","aim_s":0.5,"hard_limit_s":5,"semantics":"repeatable","value":1}]}\
            """;

    private WorkerRegistry hosts;
    private long now;

    @BeforeEach
    void settings() throws Exception {
        hosts = new WorkerRegistry(SiteSettings.read(new ObjectMapper().readTree(SETTINGS)));
    }

    private static String entry(String id, String lifecycle) {
        return "{\"instanceId\":\""
                + id
                + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"z\",\"machineType\":\"k\","
                + "\"cell\":0,\"lifecycle\":\""
                + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    private void list(boolean whole, String... entries) throws WorkerRegistry.Malformed {
        hosts.apply(
                hosts.decode(
                        "{\"generation\":1,\"reset\":"
                                + whole
                                + ",\"instances\":["
                                + String.join(",", entries)
                                + "]}"),
                now);
    }

    /**
     * A fleet whose workers are replaced every day would fill the memory with those of long ago.
     */
    @Test
    void theAddressOfAWorkerThatIsLongGoneIsForgotten() throws Exception {
        list(true, entry("a", "ready"), entry("b", "ready"));
        list(true, entry("b", "ready"));
        now += 9 * MINUTE;
        list(false);
        assertNotNull(hosts.address("a"));
        now += 2 * MINUTE;
        list(false);
        assertNull(hosts.address("a"));
        assertNotNull(hosts.address("b"));
        assertTrue(hosts.maySend("b", now));
    }

    /** However long a worker drains, nothing is sent to it; once it is ready, it is used. */
    @Test
    void aWorkerThatDrainsForLongGetsNothing() throws Exception {
        list(true, entry("a", "draining"));
        now += 20 * MINUTE;
        list(false);
        assertFalse(hosts.maySend("a", now));
        list(false, entry("a", "ready"));
        assertTrue(hosts.maySend("a", now));
    }
}
