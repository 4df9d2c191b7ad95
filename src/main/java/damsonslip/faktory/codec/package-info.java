/**
 * The Faktory work protocol, version 2, as values: each line that a peer sends is decoded once into
 * a {@link damsonslip.faktory.codec.Command}, a pushed job into a {@link
 * damsonslip.faktory.codec.Pushed}, and each reply is encoded once by {@link
 * damsonslip.faktory.codec.Reply}. What a worker gets of a job is put together by {@link
 * damsonslip.faktory.codec.JobText}. Nothing here knows links, sets or stores.
 *
 * <p>The source is the protocol's public description; where it is silent, what the public client
 * libraries send.
 */
package damsonslip.faktory.codec;
