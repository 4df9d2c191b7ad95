package damsonslip.faktory.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GlobTest {
    @ParameterizedTest
    @CsvSource({
        "*,anything,true",
        "a*c,abbbc,true",
        "a*c,abbbd,false",
        "a?c,abc,true",
        "a?c,ac,false",
        "[a-c]x,bx,true",
        "[a-c]x,dx,false",
        "[^a-c]x,dx,true",
        "[^a-c]x,ax,false",
        "a\\*c,a*c,true",
        "a\\*c,abc,false",
        "*a*b*,xxaxxbxx,true",
        "*a*b*,xxbxxaxx,false",
        "abc,abcd,false",
        "abcd,abc,false",
        "[ab,[ab,true",
        "x[]]y,x]y,true",
        "*ab,aab,true"
    })
    void matches(String pattern, String text, boolean expected) {
        assertEquals(expected, new Glob(pattern).matches(text));
    }

    @Test
    void matchesInBoundedTime() {
        assertTimeoutPreemptively(
                Duration.ofSeconds(5),
                () -> assertFalse(new Glob("*a".repeat(50) + "b").matches("a".repeat(20_000))));
    }
}
