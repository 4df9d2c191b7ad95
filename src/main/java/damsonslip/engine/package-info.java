/**
 * The engine of one scheduler. It owns the state of the open requests and their attempts, reports
 * events to the scheduling policy ({@code damsonslip.policy}) and executes the actions that the
 * policy returns, all on the thread of one {@link damsonslip.engine.EventLoop}.
 *
 * <p>{@link damsonslip.engine.SchedulerEngine} is the entry point. A frontend ({@code platform},
 * {@code faktory}) implements {@link damsonslip.engine.Frontend}, {@link
 * damsonslip.engine.WorkerGateway} and {@link damsonslip.engine.ResponseListener}; the admin
 * packages read state and statistics. {@link damsonslip.engine.LifecyclePhase} and {@link
 * damsonslip.engine.GracefulShutdown} control the life cycle of the process.
 *
 * <p>May depend on the policy, the configuration, membership and {@code engine.invariants}; must
 * not depend on the frontends or on the transport.
 */
package damsonslip.engine;
