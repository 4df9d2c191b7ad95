/**
 * The management port ("second address"), which the operators' tools call: one request line for
 * each connection, one response, then the connection is closed. {@code ManagementRequest} decodes,
 * {@code ManagementResponse} encodes, {@code ManagementServer} listens with a small connection
 * budget apart from the clients'. The requests are carried out by {@code operations}. Everything
 * but accepting runs on the event loop.
 */
package damsonslip.admin.management;
