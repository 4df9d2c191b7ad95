/**
 * The codec of the Faktory work protocol, version 2. {@link
 * damsonslip.faktory.codec.CommandDecoder} decodes each line that a peer sends into a {@link
 * damsonslip.faktory.codec.Command}, {@link damsonslip.faktory.codec.PushedJob} a pushed job, and
 * {@link damsonslip.faktory.codec.Reply} encodes each reply, an error as a {@link
 * damsonslip.faktory.codec.CommandError}. {@link damsonslip.faktory.codec.JobJson} merges what a
 * worker gets of a job. The protocol's own names are mapped to domain names here.
 *
 * <p>Called by the Faktory front. Depends on Jackson and the store's records; never on connections,
 * the job table or a store.
 *
 * <p>Follows the protocol's public description; where that is silent, what the public client
 * libraries send.
 */
package damsonslip.faktory.codec;
