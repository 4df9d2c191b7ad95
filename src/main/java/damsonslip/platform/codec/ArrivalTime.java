package damsonslip.platform.codec;

/**
 * When bytes of a client have arrived, as far as a process whose event loop may have been blocked
 * can know.
 *
 * @param earliestUs the bytes arrived no earlier: until then there was nothing to read
 * @param countedUs the time from which the client's time budget is counted
 */
public record ArrivalTime(long earliestUs, long countedUs) {}
