package damsonslip.store;

import java.util.List;

/** Where jobs outlive the program: a port. Calls wait for their answer, so none is made on the loop. */
public interface JobStore extends AutoCloseable {
    /** Takes a new job in; gives the record that was there already, or null if there was none. */
    JobRecord add(JobRecord record) throws StoreException;

    /** Replaces a job's record. */
    void put(JobRecord record) throws StoreException;

    /** A job's record, or null. */
    JobRecord get(String id) throws StoreException;

    /** The jobs that this scheduler took in and that have no final state. */
    List<JobRecord> unresolved() throws StoreException;

    /** When a worker was first seen, by whichever scheduler; now, if never. In Unix milliseconds. */
    long firstSeen(String worker, long nowMs) throws StoreException;

    @Override
    void close();
}
