/**
 * The platform's protocol at the edge of the program: decodes requests of clients, responses of
 * workers and endpoint lists of discovery into typed values, and encodes what is sent back. {@link
 * damsonslip.platform.codec.WireNames} is the one table that maps the protocol's own names to the
 * program's terms; no other platform package names a header, a JSON member or a path.
 *
 * <p>Called by {@code client}, {@code worker} and {@code discovery}. Depends on the engine's
 * request types, the policy's API, the configuration and Jetty's HTTP parser; does no I/O and knows
 * no connection. Nothing here is thread-safe.
 */
package damsonslip.platform.codec;
