package damsonslip.platform.codec;

import damsonslip.policy.api.WorkerEntry;
import java.net.InetSocketAddress;

/**
 * One entry of the endpoint list: a worker and where it listens.
 *
 * @param worker the worker, for the scheduling policy
 * @param address the address at which this scheduler connects to it
 */
public record Endpoint(WorkerEntry worker, InetSocketAddress address) {}
