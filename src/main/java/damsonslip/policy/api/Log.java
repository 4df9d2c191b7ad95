package damsonslip.policy.api;

/** Leave a line in the dispatcher's log. */
public record Log(String text) implements Action {}
