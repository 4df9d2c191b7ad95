package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long a worker list may be used. */
class WorkerListLeaseTest {
    private static final long SECOND = 1_000_000;
    private static final long PROPAGATION = 6 * SECOND;
    private static final long GRACE = SECOND / 2;

    private final WorkerListLease lease = new WorkerListLease(PROPAGATION, GRACE);

    private void assertExpiresAt(long timeUs) {
        assertTrue(lease.isValid(timeUs - 1));
        assertFalse(lease.isValid(timeUs));
    }

    @Test
    void expiresAfterPropagationAndGraceOfLostWatch() {
        lease.renew();
        assertTrue(lease.isValid(Long.MAX_VALUE - 1));
        lease.watchLost(20 * SECOND);
        assertExpiresAt(20 * SECOND + PROPAGATION + GRACE);
        lease.extendPastOutage(30 * SECOND);
        assertExpiresAt(30 * SECOND + PROPAGATION + GRACE);
    }

    @Test
    void expiresAfterGraceOfUnreadableUpdate() {
        lease.updateUnreadable(20 * SECOND);
        assertExpiresAt(20 * SECOND + GRACE);
    }

    @Test
    void limitsLeaseUntilNewAddressIsConfirmed() {
        lease.addressChanged(20 * SECOND);
        lease.addressChanged(25 * SECOND);
        assertTrue(lease.isAddressUncertain());
        assertExpiresAt(20 * SECOND + 4 * SECOND + GRACE);
        lease.newAddressConfirmed();
        assertFalse(lease.isAddressUncertain());
        assertTrue(lease.isValid(Long.MAX_VALUE - 1));
    }

    @Test
    void defersCachedListUntilFirstPollEnds() {
        lease.startWithCachedList(20 * SECOND);
        assertTrue(lease.isDeferred(20 * SECOND));
        lease.endDeferral();
        assertFalse(lease.isDeferred(20 * SECOND));
        assertExpiresAt(20 * SECOND + PROPAGATION + GRACE - 2 * SECOND);
        lease.processLaunched(15 * SECOND);
        assertExpiresAt(15 * SECOND + PROPAGATION + GRACE - 1_700_000);
    }
}
