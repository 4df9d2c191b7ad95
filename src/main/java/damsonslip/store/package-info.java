/**
 * Persistence of jobs: the interface {@link damsonslip.store.JobStore} with its operations as
 * values, its implementations in memory and in Redis, and {@link damsonslip.store.AsyncStore},
 * which calls a store from the event loop without blocking it. Called by the Faktory frontend only.
 *
 * <p>May depend on the engine's event loop, Jackson and the Redis client; never on the Faktory
 * frontend. The keys, JSON property names and enum constants written here are read by other
 * versions of the program and must not change.
 */
package damsonslip.store;
