/**
 * A load generator for the Faktory front: pushes, fetches and acknowledges jobs over a number of
 * connections and records the latency of each command. The loop is closed: each connection has one
 * command in flight, so the figures show a server at its limit, not one under a given request rate.
 */
package damsonslip.tools.load;
