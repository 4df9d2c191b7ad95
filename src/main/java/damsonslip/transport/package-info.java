/**
 * TCP connections for all frontends: listening, connecting, reading and writing over Jetty's
 * selector, with all processing on the {@link damsonslip.engine.EventLoop}. {@link
 * damsonslip.transport.ConnectionManager} is the entry point; a frontend extends {@link
 * damsonslip.transport.EventLoopConnection} with its protocol. This package handles system calls
 * that fail for lack of memory or descriptors, sockets for which no readiness is reported, and
 * bytes that arrive while a connection is being closed. Called by {@code platform}, {@code faktory}
 * and {@code admin}; depends on {@code engine}, {@code transport.datarate} and Jetty.
 */
package damsonslip.transport;
