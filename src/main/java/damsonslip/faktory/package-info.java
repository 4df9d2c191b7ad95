/**
 * The Faktory frontend: speaks version 2 of Faktory's work protocol with producers and workers.
 * Started by the command line; confined to the event loop except for accepting connections.
 *
 * <ul>
 *   <li>Connections: {@code Faktory} accepts them, {@code FaktoryConnection} decodes commands,
 *       {@code CommandRouter} passes each to its service; {@code FaktoryServices} creates the
 *       services.
 *   <li>Producers: {@code Producers} (PUSH), with {@code JobFactory} and {@code UnconfirmedPushes};
 *       {@code JobTracker} (TRACK).
 *   <li>Workers: {@code WorkerRegistry} (HELLO, BEAT), {@code Consumers} (FETCH), {@code
 *       Reservations}, and {@code ReportHandler} (ACK, FAIL).
 *   <li>Jobs: {@code JobLifecycle} moves them between states, in memory and in the store; {@code
 *       JobDispatcher} dispatches them to the scheduling policy; {@code JobCompletion} and {@code
 *       LateReports} decide what follows a run; {@code JobCoordinator} puts them into their queues;
 *       {@code Recovery} recovers them at start-up.
 *   <li>Batches: {@code BatchCommands}, {@code BatchService}, {@code BatchCallbacks}.
 *   <li>Operators: {@code MutateCommand}, {@code QueueCommands}, {@code ServerInfo}.
 * </ul>
 *
 * <p>The path of a job: {@code Producers.push}, recording in the store, {@code
 * JobCoordinator.admit}, {@code JobDispatcher.dispatch}, the scheduling policy, {@code
 * Consumers.send}, {@code Reservations.reserve}, recording in the store and the reply to FETCH,
 * {@code ReportHandler}, the scheduling policy, {@code JobDispatcher.finish}, {@code
 * JobLifecycle.transition}.
 *
 * <p>May depend on the engine, transport, store and configuration; must not depend on the
 * platform's frontend.
 */
package damsonslip.faktory;
