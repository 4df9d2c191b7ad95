package damsonslip.core;

/** The client side of one query: a port that a front implements. */
public interface AnswerListener {
    /** Takes the final answer; called once at the most, and never after the client has gone. */
    void answer(Answer answer);
}
