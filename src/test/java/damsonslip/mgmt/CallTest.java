package damsonslip.mgmt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import damsonslip.mgmt.Call.Verb;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallTest {
    @Test
    void aLineIsOneCall() throws Call.Malformed {
        assertEquals(new Call(Verb.READY, null), Call.read("READY\r"));
        assertEquals(new Call(Verb.DISABLE, "s-1"), Call.read("DISABLE  s-1"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "ready", "STATS all", "DISABLE", "ENABLE a b", "DRAINED", "READY\u0000"})
    void whatIsNoCallIsTold(String line) {
        assertThrows(Call.Malformed.class, () -> Call.read(line));
    }
}
