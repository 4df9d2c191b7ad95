package damsonslip.kin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.kin.Kin.Other;
import java.util.List;
import org.junit.jupiter.api.Test;

class KinTest {
    @Test
    void oneThatHasJustComeDividesFromItsFirstMoment() {
        assertEquals(Kin.ALONE, Kin.of(7, List.of()));
        assertEquals(new Kin(false, 2, 1), Kin.of(2, List.of(new Other(1, true))));
        assertEquals(new Kin(false, 2, 1), Kin.of(2, List.of(new Other(1, false))), "whatever the older one says");
    }

    @Test
    void theOlderOneDividesOnceTheNewcomerIsAboutToServe() {
        assertEquals(Kin.ALONE, Kin.of(1, List.of(new Other(2, false))), "a start that may fail changes nothing");
        assertEquals(new Kin(true, 2, 0), Kin.of(1, List.of(new Other(2, true))));
    }

    @Test
    void twoUpgradesInARowMakeThree() {
        List<Other> all = List.of(new Other(1, true), new Other(2, true), new Other(3, true));
        assertEquals(new Kin(true, 3, 0), Kin.of(1, List.of(all.get(1), all.get(2))));
        assertEquals(new Kin(true, 3, 1), Kin.of(2, List.of(all.get(0), all.get(2))));
        assertEquals(new Kin(false, 3, 2), Kin.of(3, List.of(all.get(0), all.get(1))));
    }
}
