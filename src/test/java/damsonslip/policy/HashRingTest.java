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
    void keepsTheOrderOfTheOthersWhenAWorkerLeaves() {
        List<Worker> left = new ArrayList<>(workers);
        left.remove(1);
        Worker[] expected =
                Arrays.stream(HashRing.of(workers, 32))
                        .filter(left::contains)
                        .toArray(Worker[]::new);
        assertArrayEquals(expected, HashRing.of(left, 32));
    }
}
