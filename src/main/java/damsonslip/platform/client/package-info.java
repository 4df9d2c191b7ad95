/**
 * The client side: accepts connections, reads requests, submits them to the engine and writes their
 * responses.
 *
 * <ul>
 *   <li>{@link damsonslip.platform.client.ClientServer} owns the connections and their limit.
 *   <li>{@code ClientConnection} is one connection with its state machine.
 *   <li>{@code ArrivalTimes} records when requests arrived, for their deadlines; {@code RequestIds}
 *       serves to detect duplicates.
 * </ul>
 *
 * <p>Everything runs on the event loop, except the acceptor's methods of {@code ClientServer}.
 * Depends on {@code codec}, the engine and transport; never on {@code worker}.
 */
package damsonslip.platform.client;
