package damsonslip.admin.operations;

/**
 * The result of an operator's command.
 *
 * @param succeeded whether the requested state is in effect
 * @param message a short text for the operator
 */
public record OperationResult(boolean succeeded, String message) {
    static OperationResult success(String message) {
        return new OperationResult(true, message);
    }

    static OperationResult failure(String message) {
        return new OperationResult(false, message);
    }
}
