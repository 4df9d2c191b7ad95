/**
 * The codec of the Faktory work protocol, version 2. {@link
 * damsonslip.faktory.codec.CommandDecoder} decodes each line from a peer into a {@link
 * damsonslip.faktory.codec.Command}; {@link damsonslip.faktory.codec.PushedJob} is a decoded job;
 * {@link damsonslip.faktory.codec.Reply} encodes replies, with {@link
 * damsonslip.faktory.codec.CommandError} for errors; {@link damsonslip.faktory.codec.JobJson}
 * builds the JSON of a job for workers. The names used by the protocol are mapped to domain names
 * here.
 *
 * <p>Called by the Faktory frontend. Depends on Jackson and the store's records; never on
 * connections, the job table or a store.
 *
 * <p>Follows the public description of the protocol and, where that leaves something open, what the
 * public client libraries send.
 */
package damsonslip.faktory.codec;
