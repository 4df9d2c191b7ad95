/**
 * The worker side: sends attempts and probes to workers over pooled connections and reports to the
 * engine how they end.
 *
 * <ul>
 *   <li>{@link damsonslip.platform.worker.WorkerClient} is the engine's gateway; it assembles the
 *       rest.
 *   <li>{@code AttemptSender} sends attempts, {@code InFlightAttempts} tracks and cancels them,
 *       {@code WorkerProber} sends probes.
 *   <li>{@code ConnectionPool} holds the open connections, {@code WorkerConnector} opens them
 *       within the limit of descriptors.
 *   <li>{@code WorkerConnection} is one connection with its state machine.
 *   <li>{@code WorkerStatistics} counts, logs and records what happens.
 * </ul>
 *
 * <p>Everything runs on the event loop. Depends on {@code discovery}, {@code codec}, the engine and
 * transport; never on {@code client}.
 */
package damsonslip.platform.worker;
