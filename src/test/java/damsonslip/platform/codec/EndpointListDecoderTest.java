package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.config.SiteSettings;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decoding of endpoint lists from their JSON text. */
class EndpointListDecoderTest {
    private static final String ENTRY =
            "{\"instanceId\":\"a\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"z2\","
                    + "\"machineType\":\"k\",\"cell\":3,\"lifecycle\":\"ready\",\"weight\":1.0,"
                    + "\"startedAtMs\":5}";

    private static final Map<String, InetSocketAddress> CACHED =
            Map.of("a", InetSocketAddress.createUnresolved("cached", 1));

    private EndpointListDecoder decoder;

    @BeforeEach
    void settings() throws Exception {
        String settings =
                "{\"instances\":1,\"azs\":[\"z1\",\"z2\"],\"shapes\":[\"k\"],"
                        + "\"lanes\":[{\"name\":\"read\"}]}";
        decoder =
                new EndpointListDecoder(
                        SiteSettings.read(new ObjectMapper().readTree(settings)), CACHED::get);
    }

    private EndpointList decode(String... entries) throws MalformedListException {
        return decoder.decode(
                "{\"generation\":41,\"reset\":true,\"instances\":["
                        + String.join(",", entries)
                        + "]}");
    }

    @Test
    void readsGenerationAndWorkers() throws Exception {
        EndpointList list = decode(ENTRY);
        assertEquals(41, list.generation());
        assertEquals(WorkerListChange.COMPLETE, list.change());
        Endpoint endpoint = list.endpoints().get(0);
        assertEquals("a", endpoint.worker().id());
        assertEquals(1, endpoint.worker().zone());
        assertEquals(3, endpoint.worker().cell());
        assertEquals(WorkerStatus.RUNNING, endpoint.worker().status());
        assertEquals(5_000, endpoint.worker().startedUs());
        assertEquals(1, endpoint.address().getPort());
    }

    @ParameterizedTest
    @CsvSource({"instanceId\":\"a, instanceId\":\"", "z2, z3", "ready, asleep", "127.0.0.1:1, x"})
    void skipsEntriesThatCannotBeUsed(String from, String to) throws Exception {
        EndpointList list = decode(ENTRY.replace(from, to), ENTRY.replace("\"a\"", "\"b\""));
        assertEquals(1, list.endpoints().size());
        assertEquals("b", list.endpoints().get(0).worker().id());
    }

    @Test
    void usesCachedAddressForRemovedWorkerOnly() throws Exception {
        String withoutAddress = ENTRY.replace("127.0.0.1:1", "");
        assertEquals(List.of(), decode(withoutAddress).endpoints());
        assertEquals(
                CACHED.get("a"),
                decode(withoutAddress.replace("ready", "gone")).endpoints().get(0).address());
    }

    @ParameterizedTest
    @CsvSource({"'{\"generation\":1}', no list of instances", "'{', not JSON"})
    void rejectsTextThatIsNotAList(String text, String reason) {
        String message =
                assertThrows(MalformedListException.class, () -> decoder.decode(text)).getMessage();
        assertTrue(message.contains(reason), message);
        assertEquals(1, message.lines().count());
    }
}
