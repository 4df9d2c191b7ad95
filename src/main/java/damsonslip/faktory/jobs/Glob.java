package damsonslip.faktory.jobs;

/**
 * A pattern in which a star stands for any run of characters, a question mark for one, {@code
 * [a-c]} and {@code [^a-c]} for one of a set, and a backslash quotes the next character.
 * Backtracking is limited to the last star, so that the time is bounded by the product of the
 * lengths of text and pattern. Immutable.
 */
public final class Glob {
    private final String pattern;

    public Glob(String pattern) {
        this.pattern = pattern;
    }

    /** Whether the whole text fits. */
    public boolean matches(String text) {
        int p = 0;
        int t = 0;
        int star = -1;
        int from = 0;
        while (t < text.length()) {
            if (p < pattern.length() && pattern.charAt(p) == '*') {
                star = p++;
                from = t;
            } else if (p < pattern.length() && matchesCharacter(p, text.charAt(t))) {
                p = nextElement(p);
                t++;
            } else if (star >= 0) {
                p = star + 1;
                t = ++from;
            } else {
                return false;
            }
        }
        while (p < pattern.length() && pattern.charAt(p) == '*') {
            p++;
        }
        return p == pattern.length();
    }

    private boolean matchesCharacter(int p, char c) {
        return switch (pattern.charAt(p)) {
            case '?' -> true;
            case '\\' -> p + 1 < pattern.length() ? pattern.charAt(p + 1) == c : c == '\\';
            case '[' -> nextElement(p) > p + 1 ? matchesSet(p, c) : c == '[';
            default -> pattern.charAt(p) == c;
        };
    }

    private boolean matchesSet(int p, char c) {
        int end = nextElement(p) - 1;
        int at = p + 1;
        boolean not = at < end && pattern.charAt(at) == '^';
        at += not ? 1 : 0;
        boolean found = false;
        while (at < end) {
            if (at + 2 < end && pattern.charAt(at + 1) == '-') {
                found |= c >= pattern.charAt(at) && c <= pattern.charAt(at + 2);
                at += 3;
            } else {
                found |= c == pattern.charAt(at++);
            }
        }
        return found != not;
    }

    /** Where the pattern goes on after the element at this place. */
    private int nextElement(int p) {
        if (pattern.charAt(p) == '\\') {
            return Math.min(p + 2, pattern.length());
        }
        if (pattern.charAt(p) == '[') {
            int end = pattern.indexOf(']', p + 2);
            return end < 0 ? p + 1 : end + 1;
        }
        return p + 1;
    }
}
