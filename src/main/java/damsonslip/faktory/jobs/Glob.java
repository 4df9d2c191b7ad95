package damsonslip.faktory.jobs;

/**
 * A glob pattern: a star stands for any run of characters, a question mark for one, {@code [a-c]}
 * and {@code [^a-c]} for one of a set, and a backslash quotes the next character. Backtracking is
 * limited to the last star, so that the time is bounded by the product of the lengths of text and
 * pattern. Immutable.
 */
public final class Glob {
    private final String pattern;

    /** Creates a pattern; each text is valid. */
    public Glob(String pattern) {
        this.pattern = pattern;
    }

    /** Whether the whole text matches. */
    public boolean matches(String text) {
        int element = 0;
        int position = 0;
        int lastStar = -1;
        int starEnd = 0; // the position up to which the last star stands
        while (position < text.length()) {
            boolean hasElement = element < pattern.length();
            if (hasElement && pattern.charAt(element) == '*') {
                lastStar = element++;
                starEnd = position;
            } else if (hasElement && matchesCharacter(element, text.charAt(position))) {
                element = nextElement(element);
                position++;
            } else if (lastStar >= 0) {
                element = lastStar + 1;
                position = ++starEnd;
            } else {
                return false;
            }
        }
        while (element < pattern.length() && pattern.charAt(element) == '*') {
            element++;
        }
        return element == pattern.length();
    }

    /** Whether the element at this index, which is not a star, matches a character. */
    private boolean matchesCharacter(int element, char c) {
        boolean isLast = element + 1 == pattern.length();
        return switch (pattern.charAt(element)) {
            case '?' -> true;
            case '\\' -> c == (isLast ? '\\' : pattern.charAt(element + 1));
            case '[' -> nextElement(element) > element + 1 ? matchesSet(element, c) : c == '[';
            default -> pattern.charAt(element) == c;
        };
    }

    private boolean matchesSet(int element, char c) {
        int end = nextElement(element) - 1;
        int at = element + 1;
        boolean negated = at < end && pattern.charAt(at) == '^';
        at += negated ? 1 : 0;
        boolean found = false;
        while (at < end) {
            if (at + 2 < end && pattern.charAt(at + 1) == '-') {
                found |= c >= pattern.charAt(at) && c <= pattern.charAt(at + 2);
                at += 3;
            } else {
                found |= c == pattern.charAt(at++);
            }
        }
        return found != negated;
    }

    /** The index of the element after this one. */
    private int nextElement(int element) {
        if (pattern.charAt(element) == '\\') {
            return Math.min(element + 2, pattern.length());
        }
        if (pattern.charAt(element) == '[') {
            int end = pattern.indexOf(']', element + 2);
            return end < 0 ? element + 1 : end + 1;
        }
        return element + 1;
    }
}
