package org.carobdoor.message;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.message.RequestFeature.Kind;
import org.junit.jupiter.api.Test;

/** Guards against patterns that match other requests after they were stored and read again. */
final class RequestPatternTest {
    private static final RequestFeature A = new RequestFeature(Kind.PROMPT_PART, -1L);
    private static final RequestFeature B = new RequestFeature(Kind.RESOURCE, 0x91bd3f06L);
    private static final RequestFeature C = new RequestFeature(Kind.CONTENT, 0);

    @Test
    void textIsReadBack() {
        RequestPattern p = new RequestPattern(List.of(A, B, C));
        assertThat(p.toString()).isEqualTo("part-ffffffffffffffff+resource-91bd3f06+content-0");
        assertThat(RequestPattern.parse(p.toString())).hasValue(p);
    }

    @Test
    void malformedTextIsNoPattern() {
        for (String text :
                List.of(
                        "",
                        "part-",
                        "part-xyz",
                        "part-1+",
                        "other-1",
                        "part-1ffffffffffffffff",
                        "part-1+part-2+part-3+part-4+part-5",
                        "-1")) {
            assertThat(RequestPattern.parse(text)).isEmpty();
        }
    }

    @Test
    void matchesRequestsWithAllFeatures() {
        RequestPattern p = new RequestPattern(List.of(A, B));
        assertThat(p.matches(new RequestFeatures(List.of(C, B, A), C))).isTrue();
        assertThat(p.matches(new RequestFeatures(List.of(B), A))).isTrue();
        assertThat(p.matches(new RequestFeatures(List.of(A, C), C))).isFalse();
        assertThat(new RequestPattern(List.of(A)).covers(p)).isTrue();
        assertThat(p.covers(new RequestPattern(List.of(A)))).isFalse();
    }
}
