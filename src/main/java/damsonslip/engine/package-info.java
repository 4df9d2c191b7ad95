/**
 * The engine of one scheduler. It owns the state of the open requests and their attempts, reports
 * events to the decision module ({@code damsonslip.policy}) and executes the actions that the
 * module decides on, all on the thread of one {@link damsonslip.engine.EventLoop}.
 *
 * <p>{@link damsonslip.engine.SchedulerEngine} is the entry point. A front ({@code platform},
 * {@code faktory}) implements {@link damsonslip.engine.Frontend}, {@link
 * damsonslip.engine.WorkerGateway} and {@link damsonslip.engine.ResponseListener}; the admin
 * packages read state and statistics. {@link damsonslip.engine.LifecyclePhase} and {@link
 * damsonslip.engine.GracefulShutdown} hold the life of the process.
 *
 * <p>May depend on the decision module, the configuration, membership and {@code
 * engine.invariants}; knows neither fronts nor transport.
 */
package damsonslip.engine;
