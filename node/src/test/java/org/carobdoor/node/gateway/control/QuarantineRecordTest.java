package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.Bytes;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeature.Kind;
import org.carobdoor.message.RequestPattern;
import org.junit.jupiter.api.Test;

/** Guards against entries that are lost or changed by a restart, and against odd values. */
final class QuarantineRecordTest {
    private static final QuarantineEntry ENTRY =
            new QuarantineEntry(
                    new RequestPattern(List.of(new RequestFeature(Kind.PROMPT_PART, 7))),
                    1_700_000_000_000L,
                    "n1@5",
                    3,
                    1,
                    1_700_000_600_000L,
                    1_700_000_000_123L);

    private static final String KEY = QuarantineRecord.key(ENTRY.pattern());

    @Test
    void entryIsReadBack() {
        assertThat(KEY).isEqualTo("carobdoor/quarantine/part-7");
        assertThat(QuarantineRecord.decode(KEY, QuarantineRecord.encode(ENTRY))).hasValue(ENTRY);
    }

    @Test
    void oddKeysAndValuesAreNoEntries() {
        Bytes value = QuarantineRecord.encode(ENTRY);
        assertThat(QuarantineRecord.decode("carobdoor/quarantine/odd", value)).isEmpty();
        assertThat(QuarantineRecord.decode("carobdoor/nodes/part-7", value)).isEmpty();
        for (String odd :
                List.of(
                        "",
                        "[".repeat(100_000),
                        value.toUtf8() + " more=1",
                        value.toUtf8().replace("since=1", "since=-1"),
                        value.toUtf8().replace("crashes=3", "crashes=99999999999"))) {
            assertThat(QuarantineRecord.decode(KEY, Bytes.utf8(odd))).isEmpty();
        }
    }
}
