package damsonslip.policy.api;

/**
 * Start an attempt: send a job to a worker. The attempts of a job are numbered from 0 in the order
 * of these actions.
 *
 * @param timeoutUs time after which the attempt fails; 0 if only the job's deadline limits it
 */
public record Send(String job, String worker, long timeoutUs) implements Action {}
