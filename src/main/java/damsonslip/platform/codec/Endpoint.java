package damsonslip.platform.codec;

import damsonslip.policy.api.WorkerEntry;
import java.net.InetSocketAddress;

/**
 * One entry of discovery's list: a worker and where it listens.
 *
 * @param worker for the decisions
 * @param address where this scheduler connects to it
 */
public record Endpoint(WorkerEntry worker, InetSocketAddress address) {}
