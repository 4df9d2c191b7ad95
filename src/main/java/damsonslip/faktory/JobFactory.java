package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.MalformedCommandException;
import damsonslip.faktory.codec.PushedJob;
import damsonslip.faktory.routing.Routes;
import damsonslip.store.JobRecord;

/**
 * Creates the records of pushed jobs: decodes the jobs, determines their class and resolves their
 * options. Confined to the event loop.
 */
final class JobFactory {
    /** The job id with which a callback is validated before its batch has an id. */
    private static final String PLACEHOLDER_JOB_ID = "b-callback-of-a-batch";

    private static final String NO_CALLBACK = "";

    private final Routes routes;
    private final int minReservationS;
    private final JobLifecycle lifecycle;

    /**
     * A pushed job that is not in the store yet.
     *
     * @param record its record, with its sequence number in the order of arrival
     * @param body the JSON text that workers receive
     * @param jobClass the index of its class
     */
    record NewJob(JobRecord record, String body, int jobClass) {
        String id() {
            return record.id();
        }
    }

    JobFactory(FaktoryConfig config, JobLifecycle lifecycle) {
        this.routes = config.routes();
        this.minReservationS = config.minReservationS();
        this.lifecycle = lifecycle;
    }

    /**
     * Creates a job that a producer has pushed.
     *
     * @throws MalformedCommandException if the job is not valid or has no class
     */
    NewJob create(JsonNode job) throws MalformedCommandException {
        PushedJob pushed = PushedJob.decode(job, lifecycle.nowMs(), minReservationS);
        int jobClass = classOf(pushed);
        if (jobClass < 0) {
            String named = pushed.custom().className();
            throw new MalformedCommandException(
                    "custom.class: "
                            + (named.isEmpty()
                                    ? "is needed, since no route and no default class fits"
                                    : "unknown class: " + named));
        }
        return create(pushed, jobClass, NO_CALLBACK);
    }

    /** Creates the callback job of a batch, which was validated when the batch was created. */
    NewJob createCallback(String job, String jid, String batchId) {
        try {
            ObjectNode node = (ObjectNode) Json.read(job);
            node.put("jid", jid);
            PushedJob pushed = PushedJob.decode(node, lifecycle.nowMs(), minReservationS);
            return create(pushed, Math.max(0, classOf(pushed)), batchId);
        } catch (MalformedCommandException e) {
            throw new IllegalStateException(
                    "stored callback of batch " + batchId + " is not valid", e);
        }
    }

    /** Returns why a job cannot be a callback; null if it can. */
    String callbackError(JsonNode job) {
        if (job == null) {
            return null;
        }
        try {
            ObjectNode node = ((ObjectNode) job).deepCopy();
            node.put("jid", PLACEHOLDER_JOB_ID);
            PushedJob pushed = PushedJob.decode(node, lifecycle.nowMs(), minReservationS);
            return classOf(pushed) < 0 ? "custom.class: no class for the callback" : null;
        } catch (MalformedCommandException e) {
            return e.getMessage();
        }
    }

    private int classOf(PushedJob pushed) {
        return routes.classOf(pushed.custom().className(), pushed.queue(), pushed.jobtype());
    }

    private NewJob create(PushedJob pushed, int jobClass, String callbackBatchId) {
        long nowMs = lifecycle.nowMs();
        JobRecord record =
                JobRecord.pushed(
                                pushed.jid(),
                                options(pushed, jobClass, callbackBatchId, nowMs),
                                pushed.scheduledMs(),
                                nowMs)
                        .withSequence(lifecycle.jobTable().nextSequence());
        return new NewJob(record, pushed.body(), jobClass);
    }

    private JobRecord.Options options(
            PushedJob pushed, int jobClass, String callbackBatchId, long nowMs) {
        PushedJob.CustomOptions custom = pushed.custom();
        return new JobRecord.Options(
                pushed.queue(),
                pushed.jobtype(),
                routes.classNames().get(jobClass),
                pushed.priority(),
                pushed.retryLimit(),
                pushed.reservationMs(),
                custom.slots(),
                custom.deadlineMs(),
                custom.expiresMs(),
                custom.batchId(),
                callbackBatchId,
                custom.uniqueForMs() == 0 ? "" : UniqueKey.keyOf(pushed),
                Math.max(nowMs, pushed.scheduledMs()) + custom.uniqueForMs(),
                custom.uniqueUntilStart(),
                pushed.backtraceLines());
    }
}
