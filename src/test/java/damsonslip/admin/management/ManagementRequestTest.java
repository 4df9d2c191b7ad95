package damsonslip.admin.management;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import damsonslip.admin.management.ManagementRequest.Verb;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ManagementRequestTest {
    @Test
    void decodesVerbAndWorkerId() throws ManagementRequest.MalformedException {
        assertEquals(new ManagementRequest(Verb.READY, null), ManagementRequest.decode("READY\r"));
        assertEquals(
                new ManagementRequest(Verb.DISABLE, "s-1"),
                ManagementRequest.decode("DISABLE  s-1"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "ready",
                "STATS all",
                "DISABLE",
                "ENABLE a b",
                "DRAINED",
                "READY\u0000"
            })
    void rejectsMalformedRequests(String line) {
        assertThrows(
                ManagementRequest.MalformedException.class, () -> ManagementRequest.decode(line));
    }
}
