/**
 * TCP connections for all fronts: listening, connecting, reading and writing over Jetty's selector,
 * with all work done on the {@link damsonslip.engine.EventLoop}. {@link
 * damsonslip.transport.ConnectionManager} is the entry point; a front extends {@link
 * damsonslip.transport.EventLoopConnection} with its protocol. System calls that fail for lack of
 * memory or descriptors, sockets that the system does not watch, and bytes that come in the moment
 * of a close are handled here. Called by {@code platform}, {@code faktory} and {@code admin};
 * depends on {@code engine}, {@code transport.datarate} and Jetty.
 */
package damsonslip.transport;
