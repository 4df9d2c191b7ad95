package damsonslip.operations;

/**
 * Whether what an operator asked for holds now.
 *
 * @param yes   it does
 * @param words a few plain words for the operator
 */
public record Verdict(boolean yes, String words) {
    static Verdict yes(String words) {
        return new Verdict(true, words);
    }

    static Verdict no(String words) {
        return new Verdict(false, words);
    }
}
