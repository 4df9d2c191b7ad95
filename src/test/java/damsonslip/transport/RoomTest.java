package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** How many connections are held. */
class RoomTest {
    private final ConnectionLimiter<EventLoopConnection> room =
            new ConnectionLimiter<>(30, 10, link -> true, Comparator.comparingInt(link -> 0));

    /** A crowd is accepted at one go, long before the first of it is set up. */
    @Test
    void aCrowdThatComesAtOnceTakesNoMoreThanThereIs() throws Exception {
        AtomicInteger admitted = new AtomicInteger();
        CountDownLatch begin = new CountDownLatch(1);
        Thread[] doors = new Thread[4];
        for (int i = 0; i < doors.length; i++) {
            doors[i] =
                    new Thread(
                            () -> {
                                try {
                                    begin.await();
                                } catch (InterruptedException e) {
                                    return;
                                }
                                for (int k = 0; k < 50; k++) {
                                    admitted.addAndGet(room.admit() ? 1 : 0);
                                }
                            });
            doors[i].start();
        }
        begin.countDown();
        for (Thread door : doors) {
            door.join();
        }
        assertEquals(40, admitted.get());
    }

    @Test
    void whatIsTurnedBackMakesRoomAgain() {
        for (int i = 0; i < 40; i++) {
            assertTrue(room.admit());
        }
        assertFalse(room.admit());
        room.turnedBack();
        assertTrue(room.admit());
        assertFalse(room.admit());
    }
}
