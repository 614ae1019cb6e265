package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.carobdoor.Bytes;
import org.carobdoor.Result;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.RecordedUsage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against usage counts that a later duty holder decodes differently. */
final class UsageRecordTest {
    private static final int GENERATED = 3_000;

    /** Parts of names that a text record could take for its own syntax. */
    private static final String[] NAME_PARTS = {
        "hay",
        "Hay",
        " ",
        "=",
        "\n",
        "\r",
        "\t",
        "\"",
        "\\",
        "{",
        "}",
        ",",
        ":",
        "7",
        "=3 ",
        "\n8 ",
        "\u00e9",
        "\u0642\u0637\u0646",
        "\ud83c\udf3e",
        "\ud800",
        "\u2028",
        "\0"
    };

    @Test
    void decodesEncodedReportedCounts() {
        Map<Long, Map<String, Long>> windows =
                Map.of(7L, Map.of("hay", 3L, "soc", 4L), 8L, Map.of());
        assertThat(decode(UsageRecord.encode(windows))).isEqualTo(RecordedUsage.of(windows));
    }

    @Test
    void decodesEncodedUnreportedCounts() {
        ClusterUsage usage = ClusterUsage.create();
        usage.report("n1@1", 7, Map.of("hay", 3L));
        usage.report("n2@1", 7, Map.of("hay", 2L));
        ClusterUsage decoded =
                UsageRecord.decodeUnreported(UsageRecord.encodeUnreported(usage.since(0)))
                        .orElseThrow();
        assertThat(decoded.total(7)).containsExactly("hay", 5L);
    }

    @Test
    void namesAreReadBackAsWritten() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < GENERATED; i++) {
            Map<Long, Map<String, Long>> windows = new HashMap<>();
            ClusterUsage usage = ClusterUsage.create();
            for (int w = random.nextInt(4); w > 0; w--) {
                Map<String, Long> counts = counts(random);
                windows.put((long) w, counts);
                usage.report("n" + w + "@1", w, counts);
            }
            Bytes encoded = UsageRecord.encode(windows);
            assertWithMessage(encoded.toUtf8())
                    .that(decode(encoded))
                    .isEqualTo(RecordedUsage.of(windows));
            Bytes unreported = UsageRecord.encodeUnreported(usage.since(0));
            assertWithMessage(unreported.toUtf8())
                    .that(UsageRecord.decodeUnreported(unreported).orElseThrow().since(0))
                    .isEqualTo(usage.since(0));
        }
    }

    private static Map<String, Long> counts(SplittableRandom random) {
        Map<String, Long> counts = new HashMap<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            StringBuilder name = new StringBuilder();
            for (int part = random.nextInt(5); part > 0; part--) {
                name.append(NAME_PARTS[random.nextInt(NAME_PARTS.length)]);
            }
            counts.put(name.toString(), random.nextLong(Long.MAX_VALUE));
        }
        counts.put("x".repeat(random.nextInt(2) * 5_000), 1L);
        return counts;
    }

    /** An earlier release takes over the duties during a rolling update. */
    @Test
    void earlierReleaseReadsTheSameCountsOfPlainNames() {
        Map<Long, Map<String, Long>> windows =
                Map.of(7L, Map.of("huka270", 3L, "soc-2.a", 4L), 8L, Map.of("huka270", 1L));
        String written = UsageRecord.encode(windows).toUtf8();
        String text = written.substring(0, written.lastIndexOf('\n') + 1);
        assertThat(text).isEqualTo("7 huka270=3 soc-2.a=4\n8 huka270=1\n");
        assertThat(UsageText.decode(written)).isEqualTo(RecordedUsage.of(windows));
    }

    @Test
    void readsWhatAnEarlierReleaseWrote() {
        assertThat(decode(Bytes.utf8("7 hay=3 soc=4\n8 hay=1\n")))
                .isEqualTo(
                        RecordedUsage.of(
                                Map.of(7L, Map.of("hay", 3L, "soc", 4L), 8L, Map.of("hay", 1L))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7 hay=3\n8 El Sharkawy=3\n",
                "7 hay=3\n8 hay=3 soc=x\n",
                "7 hay=3\n8  =3\n",
                "x hay=3\n7 hay=3\n8 soc=4 hay=3\n"
            })
    void windowThatCannotBeReadIsRecordedButNotReported(String text) {
        assertThat(decode(Bytes.utf8(text)))
                .isEqualTo(new RecordedUsage(Map.of(7L, Map.of("hay", 3L)), 8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{",
                "{}",
                "{\"version\":3,\"windows\":{}}",
                "{\"version\":2}",
                "{\"version\":2,\"windows\":[]}",
                "{\"version\":2,\"windows\":{\"x\":{}}}",
                "{\"version\":2,\"windows\":{\"7\":3}}",
                "{\"version\":2,\"windows\":{\"7\":[[\"hay\",\"3\"]]}}",
                "{\"version\":2,\"windows\":{\"7\":[[\"hay\",3.5]]}}",
                "{\"version\":2,\"windows\":{\"7\":[[\"hay\",3],[\"hay\",4]]}}"
            })
    void unknownDocumentIsNotTakenForAnEmptyOne(String document) {
        Bytes value = Bytes.utf8("7 hay=3\n" + document);
        assertThat(UsageRecord.decode(value)).isInstanceOf(Result.Err.class);
    }

    private static RecordedUsage decode(Bytes value) {
        return UsageRecord.decode(value).orElseThrow();
    }
}
