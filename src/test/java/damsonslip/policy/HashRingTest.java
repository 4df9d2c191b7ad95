package damsonslip.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Orders workers on the hash ring. */
class HashRingTest {
    private final List<Worker> workers = List.of(new Worker("a"), new Worker("b"), new Worker("c"));

    @Test
    void listsEachWorkerOncePerPoint() {
        Worker[] ring = HashRing.of(workers, 32);
        assertEquals(96, ring.length);
        assertEquals(32, Arrays.stream(ring).filter(workers.get(1)::equals).count());
    }

    @Test
    void keepsTheOrderOfTheOthersWhenAWorkerIsRemoved() {
        List<Worker> remaining = new ArrayList<>(workers);
        remaining.remove(1);
        Worker[] expected =
                Arrays.stream(HashRing.of(workers, 32))
                        .filter(remaining::contains)
                        .toArray(Worker[]::new);
        assertArrayEquals(expected, HashRing.of(remaining, 32));
    }
}
