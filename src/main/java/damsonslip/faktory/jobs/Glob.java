package damsonslip.faktory.jobs;

/**
 * A glob pattern: {@code *} matches any sequence of characters, {@code ?} any single character,
 * {@code [a-c]} and {@code [^a-c]} a character in or not in a set, and a backslash escapes the next
 * character. Backtracking is limited to the last star, so that the time is bounded by the product
 * of the lengths of text and pattern. Immutable.
 */
public final class Glob {
    private final String pattern;

    /** Creates a pattern; any string is a valid one. */
    public Glob(String pattern) {
        this.pattern = pattern;
    }

    /** Whether the pattern matches the whole text. */
    public boolean matches(String text) {
        int element = 0;
        int position = 0;
        int lastStar = -1;
        int starEnd = 0; // end of the text that the last star matches
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

    /** Whether the pattern element at this index, which is not a star, matches a character. */
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
        int index = element + 1;
        boolean negated = index < end && pattern.charAt(index) == '^';
        index += negated ? 1 : 0;
        boolean inSet = false;
        while (index < end) {
            if (index + 2 < end && pattern.charAt(index + 1) == '-') {
                inSet |= c >= pattern.charAt(index) && c <= pattern.charAt(index + 2);
                index += 3;
            } else {
                inSet |= c == pattern.charAt(index++);
            }
        }
        return inSet != negated;
    }

    /** The index of the pattern element after this one. */
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
