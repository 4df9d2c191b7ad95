package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.config.SiteSettings;
import damsonslip.engine.Request;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decoding of requests for jobs from their header fields. */
class RequestDecoderTest {
    private static final String SETTINGS =
            """
            {"instances":1,"azs":["z"],"shapes":["k"],"realms":[{"name":"t0"},{"name":"t1"}],
            "lanes":[{"name":"read","hard_limit_s":5,"semantics":"repeatable"},
            {"name":"write","hard_limit_s":3,"semantics":"once"}]}\
            """;
    private static final ArrivalTime ARRIVAL = new ArrivalTime(1_000, 2_000);

    private final Map<String, String> headers = new HashMap<>();
    private RequestDecoder decoder;

    @BeforeEach
    void settings() throws Exception {
        decoder = new RequestDecoder(SiteSettings.read(new ObjectMapper().readTree(SETTINGS)));
        header("X-Correlation-Id", "q1");
        header("X-Service-Class", "write");
        header("X-Account", "t1");
    }

    private void header(String name, String value) {
        headers.put(name.toLowerCase(Locale.ROOT), value);
    }

    private Request decode(long latestUs) throws BadRequestException {
        return decoder.decode(
                new HttpRequest("POST", "/api", headers, new byte[0]), ARRIVAL, latestUs);
    }

    @Test
    void readsClassTenantTimeAndDemands() throws Exception {
        header("X-Time-Left", "480m");
        header("X-Facts", "slots=2, memory=1.5,other=x,");
        Request request = decode(Long.MAX_VALUE);
        assertEquals("q1", request.id());
        assertEquals(1, request.jobClass());
        assertEquals(1, request.tenant());
        assertEquals(482_000, request.deadlineUs());
        assertEquals(481_000, request.earliestDeadlineUs());
        assertEquals(2, request.slots());
        assertEquals(1.5, request.memory());
    }

    @Test
    void usesTheClassDeadlineIfTheClientSendsNoTimeBudget() throws Exception {
        assertEquals(3_002_000, decode(Long.MAX_VALUE).deadlineUs());
    }

    @Test
    void boundsTheDeadline() throws Exception {
        assertEquals(10_000, decode(10_000).deadlineUs());
    }

    @ParameterizedTest
    @CsvSource({
        "X-Correlation-Id, ' ', lacks X-Correlation-Id",
        "X-Correlation-Id, \u00e9, not plain ASCII: X-Correlation-Id",
        "X-Service-Class, other, unknown class: other",
        "X-Account, other, unknown account: other",
        "X-Time-Left, 480, not a figure: not a time: 480",
        "X-Time-Left, 1e3m, not a figure: 1e3",
        "X-Time-Left, 90000000m, not a figure: 90000000",
        "X-Facts, slots=NaN, not a figure: NaN",
        "Idempotency-Key, \u00e9, not plain ASCII: Idempotency-Key"
    })
    void rejectsInvalidHeaders(String name, String value, String message) {
        header(name, value);
        BadRequestException failure =
                assertThrows(BadRequestException.class, () -> decode(Long.MAX_VALUE));
        assertEquals(400, failure.status());
        assertEquals(message, failure.getMessage());
    }
}
