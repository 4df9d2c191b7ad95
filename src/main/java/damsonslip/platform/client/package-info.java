/**
 * The clients' side: accepts connections, reads requests, hands them to the engine and writes their
 * responses.
 *
 * <ul>
 *   <li>{@link damsonslip.platform.client.ClientServer} owns the connections and their limit.
 *   <li>{@code ClientConnection} is one connection with its state machine.
 *   <li>{@code ArrivalTimes} and {@code RecentRequestIds} guard deadlines and ids.
 * </ul>
 *
 * <p>Everything runs on the event loop, except what {@code ClientServer} says of its acceptor.
 * Depends on {@code codec}, the engine and transport; never on {@code worker}.
 */
package damsonslip.platform.client;
