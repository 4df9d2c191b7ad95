/**
 * The management port (the "second address"), which the operators' tools call. A connection carries
 * one request line and one response, and is then closed. {@code ManagementRequest} decodes, {@code
 * ManagementResponse} encodes, {@code ManagementServer} listens, with a small connection limit
 * separate from that of the clients. {@code operations} executes the requests. Connections are
 * accepted on a selector thread; everything else runs on the event loop.
 */
package damsonslip.admin.management;
