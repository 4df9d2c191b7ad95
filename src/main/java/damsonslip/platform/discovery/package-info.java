/**
 * The discovery side: {@link damsonslip.platform.discovery.DiscoveryClient} watches the endpoint
 * list, and {@link damsonslip.platform.discovery.WorkerRegistry} holds the address and the draining
 * time of each worker. When to watch again after a failure is the policy's decision.
 *
 * <p>Called by {@code worker} and by the assembly in {@code platform}, on the event loop. Depends
 * on {@code codec}, the engine and transport.
 */
package damsonslip.platform.discovery;
