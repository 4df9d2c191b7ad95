package damsonslip.membership.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.membership.peers.PeerProcesses.Peer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The position of a process among the live processes of its scheduler. */
class PeerProcessesTest {
    @Test
    void countsOlderProcessesFromTheStart() {
        assertEquals(PeerProcesses.ALONE, PeerProcesses.of(7, List.of()));
        assertEquals(
                new PeerProcesses(false, 2, 1), PeerProcesses.of(2, List.of(new Peer(1, true))));
        assertEquals(
                new PeerProcesses(false, 2, 1),
                PeerProcesses.of(2, List.of(new Peer(1, false))),
                "even if the older one is not serving yet");
    }

    @Test
    void countsNewerProcessOnceItServes() {
        assertEquals(
                PeerProcesses.ALONE,
                PeerProcesses.of(1, List.of(new Peer(2, false))),
                "a process that may still fail to start is not counted");
        assertEquals(
                new PeerProcesses(true, 2, 0), PeerProcesses.of(1, List.of(new Peer(2, true))));
    }

    @Test
    void countsThreeProcessesAfterTwoUpgrades() {
        List<Peer> all = List.of(new Peer(1, true), new Peer(2, true), new Peer(3, true));
        assertEquals(
                new PeerProcesses(true, 3, 0),
                PeerProcesses.of(1, List.of(all.get(1), all.get(2))));
        assertEquals(
                new PeerProcesses(true, 3, 1),
                PeerProcesses.of(2, List.of(all.get(0), all.get(2))));
        assertEquals(
                new PeerProcesses(false, 3, 2),
                PeerProcesses.of(3, List.of(all.get(0), all.get(1))));
    }
}
