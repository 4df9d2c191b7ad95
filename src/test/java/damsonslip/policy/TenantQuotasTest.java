package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Enforces tenant quotas with token buckets. */
class TenantQuotasTest {
    private static final Settings TEN_A_SECOND =
            settings(2, 0, List.of(20.0, 20.0), false, IDEMPOTENT);

    private static int acquired(TenantQuotas quotas, int tenant, int jobs, long nowUs) {
        int acquired = 0;
        for (int i = 0; i < jobs; i++) {
            acquired += quotas.tryAcquire(tenant, TEN_A_SECOND, nowUs) ? 1 : 0;
        }
        return acquired;
    }

    @Test
    void admitsAllJobsWithoutQuotas() {
        assertTrue(new TenantQuotas(0).tryAcquire(0, settings(1, 0, IDEMPOTENT), SECOND));
    }

    @Test
    void enforcesThePartOfAQuotaOfOneScheduler() {
        TenantQuotas quotas = new TenantQuotas(2);
        quotas.start(0);
        assertEquals(10, acquired(quotas, 0, 100, SECOND));
    }

    @Test
    void limitsBurstsToFourSecondsOfTheQuota() {
        TenantQuotas quotas = new TenantQuotas(2);
        quotas.start(0);
        assertEquals(40, acquired(quotas, 0, 100, 100 * SECOND));
    }

    @Test
    void enforcesTheQuotasOfTenantsSeparately() {
        TenantQuotas quotas = new TenantQuotas(2);
        quotas.start(0);
        acquired(quotas, 0, 100, SECOND);
        assertEquals(10, acquired(quotas, 1, 100, SECOND));
    }
}
