package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.jobClass;
import static damsonslip.policy.ScriptedScheduler.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import java.util.ArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decides whether a job may be sent again. */
class IdempotencyRulesTest {
    private final Worker worker = new Worker("a");

    private IdempotencyRules rulesAt(JobClass jobClass, long nowUs) {
        DecisionContext context = new DecisionContext(settings(1, 0, jobClass), 1);
        context.begin(nowUs, new ArrayList<>());
        return new IdempotencyRules(context);
    }

    private Job job(JobClass jobClass, int maxRuns) {
        JobArrived arrival = new JobArrived("j", 0, 0, null, 60 * SECOND, 1, 0, maxRuns, null);
        return new Job(arrival, new WorkerPool(jobClass, 1, 1), SECOND, 0, 1);
    }

    /** The window of an idempotency key ends 5 s after the job was first sent. */
    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, 2, true",
        "IDEMPOTENT, 30, true",
        "IDEMPOTENT_WITH_KEY, 2, true",
        "IDEMPOTENT_WITH_KEY, 5, true",
        "IDEMPOTENT_WITH_KEY, 6, false",
        "NOT_IDEMPOTENT, 2, false"
    })
    void decidesWhetherAJobMayBeSentAgain(
            Idempotency idempotency, long sentAgainAtS, boolean expected) {
        JobClass jobClass = jobClass(idempotency, IdempotencyScope.ALL_WORKERS);
        Job job = job(jobClass, 3);
        IdempotencyRules rules = rulesAt(jobClass, sentAgainAtS * SECOND);
        assertTrue(rules.maySend(job), "it has not been sent yet");
        job.recordPossibleRun(new JobAttempt(job, worker, SECOND));
        assertEquals(expected, rules.maySend(job));
    }

    @ParameterizedTest
    @CsvSource({"1, false", "2, true"})
    void limitsTheRunsOfAJob(int maxRuns, boolean expected) {
        JobClass jobClass = jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        Job job = job(jobClass, maxRuns);
        job.recordPossibleRun(new JobAttempt(job, worker, SECOND));
        assertEquals(expected, rulesAt(jobClass, 2 * SECOND).maySend(job));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, CELL, true",
        "IDEMPOTENT_WITH_KEY, ALL_WORKERS, true",
        "IDEMPOTENT_WITH_KEY, ZONE, false",
        "IDEMPOTENT_WITH_KEY, CELL, false",
        "NOT_IDEMPOTENT, ALL_WORKERS, false"
    })
    void letsClientsRetryOnlyWithoutRisk(
            Idempotency idempotency, IdempotencyScope scope, boolean expected) {
        JobClass jobClass = jobClass(idempotency, scope);
        Job job = job(jobClass, 3);
        IdempotencyRules rules = rulesAt(jobClass, 2 * SECOND);
        assertTrue(rules.isSafeToRetryByClient(job), "it has never run");
        job.recordPossibleRun(new JobAttempt(job, worker, SECOND));
        assertEquals(expected, rules.isSafeToRetryByClient(job));
    }
}
