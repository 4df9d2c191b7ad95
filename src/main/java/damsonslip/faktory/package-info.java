/**
 * The Faktory front: speaks Faktory's work protocol, version 2, to producers and workers. Started
 * by the command line; confined to the event loop but for accepting connections.
 *
 * <ul>
 *   <li>Connections: {@code Faktory} accepts them, {@code FaktoryConnection} decodes commands,
 *       {@code CommandRouter} passes each to its service; {@code FaktoryServices} creates these.
 *   <li>Producers: {@code Producers} (PUSH), with {@code JobFactory} and {@code UnconfirmedPushes};
 *       {@code JobTracker} (TRACK).
 *   <li>Workers: {@code WorkerRegistry} (HELLO, BEAT), {@code Consumers} (FETCH), {@code
 *       Reservations}, and {@code ReportHandler} (ACK, FAIL).
 *   <li>Jobs: {@code JobLifecycle} moves them between states, in memory and in the store; {@code
 *       JobDispatcher} gives them to the decision module; {@code JobCompletion} and {@code
 *       LateReports} decide what follows a run; {@code JobCoordinator} brings them into their
 *       queues; {@code Recovery} restores them after a start.
 *   <li>Batches: {@code BatchCommands}, {@code BatchService}, {@code BatchCallbacks}.
 *   <li>Operators: {@code MutateCommand}, {@code QueueCommands}, {@code ServerInfo}.
 * </ul>
 *
 * <p>The way of a job: {@code Producers.push}, recorded by the store, {@code JobCoordinator.admit},
 * {@code JobDispatcher.dispatch}, the decision module, {@code Consumers.start}, {@code
 * Reservations.reserve}, recorded by the store and handed out, {@code ReportHandler}, the decision
 * module, {@code JobDispatcher.finish}, {@code JobLifecycle.transition}.
 *
 * <p>May depend on the engine, transport, store and configuration; never on the platform's front.
 */
package damsonslip.faktory;
