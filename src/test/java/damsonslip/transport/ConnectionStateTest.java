package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The transitions between the states of a connection. */
class ConnectionStateTest {
    @ParameterizedTest
    @CsvSource({
        "OPEN,CLOSE_PENDING CLOSED",
        "CLOSE_PENDING,LINGERING CLOSED",
        "LINGERING,CLOSED",
        "CLOSED,''"
    })
    void allowsOnlyDocumentedTransitions(ConnectionState state, String allowed) {
        Set<ConnectionState> next =
                EnumSet.allOf(ConnectionState.class).stream()
                        .filter(state::mayBecome)
                        .collect(Collectors.toSet());
        Set<ConnectionState> expected = EnumSet.noneOf(ConnectionState.class);
        for (String name : allowed.split(" ", 0)) {
            if (!name.isEmpty()) {
                expected.add(ConnectionState.valueOf(name));
            }
        }
        assertEquals(expected, next);
    }
}
