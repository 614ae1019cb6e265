package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.Deflater;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.StatusBatch;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;
import org.junit.jupiter.api.Test;

/** Guards against compressed messages that are lost, changed or taken although they are invalid. */
final class EnvelopeCompressionTest {
    private static Envelope batch(int statuses) {
        List<NodeStatus> all = new ArrayList<>();
        for (int i = 0; i < statuses; i++) {
            List<EndpointUse> uses = new ArrayList<>();
            for (int e = 0; e < 20; e++) {
                uses.add(new EndpointUse("i-4f00d5e" + e, 1 + i % 3, 100L * i));
            }
            all.add(
                    new NodeStatus(
                            "front-" + i,
                            1,
                            "zone-a",
                            2,
                            3,
                            4,
                            List.of(),
                            uses,
                            List.of(),
                            Map.of(),
                            0,
                            5,
                            true,
                            false));
        }
        return MessageCodec.encode(9, Envelope.Kind.ONE_WAY, new StatusBatch(all));
    }

    @Test
    void largeBatchIsSmallerAndReadsTheSame() {
        Envelope plain = batch(60);
        Envelope compressed = EnvelopeCompression.compress(plain);
        assertThat(compressed.getSerializedSize()).isLessThan(plain.getSerializedSize() / 3);
        assertThat(compressed.getMessageId()).isEqualTo(9);
        assertThat(compressed.getKind()).isEqualTo(Envelope.Kind.ONE_WAY);
        assertThat(MessageCodec.decode(compressed)).isEqualTo(MessageCodec.decode(plain));
    }

    @Test
    void smallBatchIsSentAsItIs() {
        Envelope plain = batch(1);
        assertThat(EnvelopeCompression.compress(plain)).isSameInstanceAs(plain);
    }

    @Test
    void invalidCompressedEnvelopesAreRejected() {
        byte[] sound = EnvelopeCompression.compress(batch(60)).getDeflated().toByteArray();
        assertRejected(ByteString.copyFrom(sound, 0, sound.length / 2));
        assertRejected(ByteString.copyFromUtf8("no deflated data"));
        assertRejected(deflated(new byte[20 << 20]));
        Envelope nested = EnvelopeCompression.compress(batch(60));
        assertRejected(deflated(nested.toByteArray()));
    }

    private static ByteString deflated(byte[] plain) {
        Deflater d = new Deflater(Deflater.BEST_SPEED, true);
        d.setInput(plain);
        d.finish();
        byte[] out = new byte[plain.length + 100];
        int n = d.deflate(out);
        d.end();
        return ByteString.copyFrom(out, 0, n);
    }

    private static void assertRejected(ByteString deflated) {
        Envelope e = Envelope.newBuilder().setDeflated(deflated).build();
        assertThrows(IllegalArgumentException.class, () -> MessageCodec.decode(e));
    }
}
