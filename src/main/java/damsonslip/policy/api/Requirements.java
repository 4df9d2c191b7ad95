package damsonslip.policy.api;

/** Checks of the values that settings and events are made of. */
final class Requirements {
    private Requirements() {}

    /** Throws {@link IllegalArgumentException} with this message unless the condition holds. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
