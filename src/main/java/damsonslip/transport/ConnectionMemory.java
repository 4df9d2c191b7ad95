package damsonslip.transport;

import damsonslip.transport.datarate.HeapShare;

/** Bounds the number of connections by the memory that they take. */
public final class ConnectionMemory {
    /** What a connection takes at most beside the messages that other limits count. */
    public static final int BYTES_PER_CONNECTION = 4 * 1024;

    private ConnectionMemory() {}

    /** How many connections the heap of this process has room for. */
    public static int maxConnections() {
        long connections = HeapShare.CONNECTIONS.bytes() / BYTES_PER_CONNECTION;
        return (int) Math.min(Integer.MAX_VALUE, connections);
    }
}
