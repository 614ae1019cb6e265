package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.carobdoor.Bytes;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.StoreNews;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;
import org.junit.jupiter.api.Test;

/**
 * Guards against a configuration that fills the link of the node that passes it on, so that its
 * requests and its calls of the store wait in the link's queue for seconds.
 */
final class StoreNewsTrafficTest {
    private static final int ROUTES = 1_400;

    /** Half of the nodes of the largest zone, without the two that watch the store. */
    private static final int SERVED = 11;

    /** The smallest link of a VM, in bits per second. */
    private static final double LINK = 7e6;

    private static final int BITS_PER_BYTE = 8;
    private static final int NAME_LETTERS = 7;

    private final SplittableRandom random = new SplittableRandom(1);

    private String name() {
        StringBuilder name = new StringBuilder();
        for (int i = 0; i < NAME_LETTERS; i++) {
            name.append((char) ('a' + random.nextInt(26)));
        }
        return name.toString();
    }

    private String configuration() {
        StringBuilder json = new StringBuilder("{\"version\":7,\"routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            json.append("{\"name\":\"r-" + name() + "\",\"host\":\"" + name() + ".example\",")
                    .append("\"prefix\":\"/" + name() + "/\",\"kind\":\"streaming\",")
                    .append("\"timeoutMs\":3000,\"latencyTargetMs\":609,\"priority\":0,")
                    .append("\"service\":\"huvo11a\",\"maxAttempts\":2,")
                    .append("\"anonymousAccess\":false,\"sessionAffinity\":true,")
                    .append("\"streamResumption\":true,\"gapTargetMs\":600},");
        }
        return json.append("]}").toString();
    }

    @Test
    void largeConfigurationIsOnTheLinkForLessThanASecond() {
        ReplicaItem item = new ReplicaItem("op/config", 9, false, Bytes.utf8(configuration()));
        StoreNews news = new StoreNews(1, "op/config", 8, 9, List.of(item), 0, 0);

        Envelope sent =
                EnvelopeCompression.compress(MessageCodec.encode(1, Envelope.Kind.ONE_WAY, news));

        assertThat(MessageCodec.decode(sent)).isEqualTo(news);
        double seconds = SERVED * sent.getSerializedSize() * BITS_PER_BYTE / LINK;
        assertThat(seconds).isLessThan(1.0);
    }
}
