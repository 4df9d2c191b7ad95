package damsonslip.platform.client;

/** How much a client's connection has been used; the least used are closed first. */
enum ConnectionUsage {
    LINGERING,
    SILENT,
    UNSERVED,
    SERVED;

    /**
     * Compares two connections by the order in which they are closed if there are too many. Not
     * built from {@code Comparator}'s factory methods: the classes of their lambdas would be
     * generated at each start-up.
     */
    static int compareForEviction(ClientConnection one, ClientConnection other) {
        int byUsage = one.usage().compareTo(other.usage());
        return byUsage != 0 ? byUsage : Long.compare(one.idleSinceUs(), other.idleSinceUs());
    }
}
