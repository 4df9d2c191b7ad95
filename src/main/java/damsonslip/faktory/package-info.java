/**
 * The Faktory front: speaks Faktory's work protocol, version 2, to producers and workers. {@code
 * Producers} and {@code Consumers} are its two sides, {@code JobCoordinator} moves jobs between
 * their sets, the decision module and the store, {@code BatchService}, {@code AdminCommands} and
 * {@code Recovery} do the rest. Confined to the event loop but for accepting connections. Depends
 * on {@code core}, {@code net} and {@code store}, never on the platform's front.
 */
package damsonslip.faktory;
