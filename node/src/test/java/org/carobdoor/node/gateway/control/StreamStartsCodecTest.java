package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.carobdoor.Bytes;
import org.carobdoor.Result;
import org.carobdoor.internal.resume.StoredStarts;
import org.carobdoor.internal.resume.StreamStart;
import org.junit.jupiter.api.Test;

/** Guards against records of streams that are lost or changed on their way through the store. */
final class StreamStartsCodecTest {
    @Test
    void anyNamesSurvive() {
        StoredStarts starts =
                new StoredStarts(
                        Map.of(
                                "9c41d07be2a35f68", new StreamStart("llm", "v1.1"),
                                "a \"b\"\t\n", new StreamStart("höhe [1]", "")),
                        Set.of("llm", "höhe [1]"));
        assertThat(StreamStartsCodec.decode(StreamStartsCodec.encode(starts)).orElseThrow())
                .isEqualTo(starts);
    }

    @Test
    void unreadableValuesAreFailures() {
        for (String value : new String[] {"", "{", "{\"version\":2}", "[]"}) {
            assertThat(StreamStartsCodec.decode(Bytes.utf8(value))).isInstanceOf(Result.Err.class);
        }
    }
}
