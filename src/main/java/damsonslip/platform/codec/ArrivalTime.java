package damsonslip.platform.codec;

/**
 * When bytes of a client have arrived, as far as a process that may have been held up can know.
 *
 * @param earliestUs not before this time: until then nothing was there to read
 * @param countedUs the time from which the client's time budget is counted
 */
public record ArrivalTime(long earliestUs, long countedUs) {}
