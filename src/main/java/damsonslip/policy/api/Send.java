package damsonslip.policy.api;

/**
 * Send a job to a worker: an attempt. A job's attempts are numbered from 0 in this order.
 *
 * @param timeoutUs time after which the attempt fails; 0 if there is none but the job's deadline
 */
public record Send(String job, String worker, long timeoutUs) implements Action {}
