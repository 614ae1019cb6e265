package org.carobdoor.internal.claims;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.carobdoor.Bytes;
import org.carobdoor.Result;
import org.junit.jupiter.api.Test;

/** Guards against decoding errors in the stored format, which could grant a claim twice. */
final class ClaimCodecTest {
    private final Random random = new Random(7);

    @Test
    void headRoundTrips() {
        LogHead head = head(100);

        assertThat(ClaimCodec.decodeHead(ClaimCodec.encodeHead(head))).isEqualTo(Result.ok(head));
    }

    @Test
    void recordTakesLessThanFortyBytes() {
        List<ClaimRecord> records = records(800);

        assertThat(ClaimCodec.encodeSegment(records).size()).isLessThan(800 * 40);
    }

    @Test
    void truncationAndBitFlipsAreDetected() {
        byte[] value = ClaimCodec.encodeHead(head(3)).toByteArray();

        for (int length = 0; length < value.length; length++) {
            Bytes cut = Bytes.of(java.util.Arrays.copyOf(value, length));
            assertThat(ClaimCodec.decodeHead(cut).isOk()).isFalse();
        }
        for (int bit = 0; bit < value.length * 8; bit++) {
            byte[] flipped = value.clone();
            flipped[bit / 8] ^= (byte) (1 << (bit % 8));
            assertThat(ClaimCodec.decodeHead(Bytes.of(flipped)).isOk()).isFalse();
        }
    }

    @Test
    void unknownFormatVersionIsRejected() {
        ByteWriter out = new ByteWriter();
        out.writeVarint(2);
        out.writeVarint(0);
        out.writeVarint(0);

        assertThat(ClaimCodec.decodeSegment(out.toBytes()).isOk()).isFalse();
    }

    private LogHead head(int records) {
        return new LogHead(
                List.of(Id128.random(random), Id128.random(random)),
                Instant.ofEpochSecond(1_800_000_000),
                List.of(
                        new SegmentInfo(17, Instant.ofEpochSecond(1_800_000_100)),
                        new SegmentInfo(900, Instant.ofEpochSecond(1_799_999_000))),
                List.of(3L, 1_000_000L),
                records(records));
    }

    private List<ClaimRecord> records(int count) {
        List<ClaimRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ClaimRecord record =
                    new ClaimRecord(
                            Id128.random(random),
                            Id128.random(random),
                            Instant.ofEpochSecond(1_800_000_000 + random.nextInt(1000)),
                            ClaimState.CLAIMED,
                            0,
                            "node-" + random.nextInt(5));
            records.add(i % 2 == 0 ? record : i % 3 == 0 ? record.released() : record.done(200));
        }
        return records;
    }
}
