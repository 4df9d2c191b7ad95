/**
 * The platform's protocol on the wire: decodes requests of clients, responses of workers and
 * endpoint lists of discovery into typed values, and encodes what is sent back. {@link
 * damsonslip.platform.codec.WireNames} is the only table that maps the protocol's names to the
 * program's terms; no other platform package uses the name of a header, a JSON member or a path.
 *
 * <p>Called by {@code client}, {@code worker} and {@code discovery}. Depends on the engine's
 * request types, the policy's API, the configuration and Jetty's HTTP parser; does no I/O and is
 * independent of connections. Nothing here is thread-safe.
 */
package damsonslip.platform.codec;
