package org.carobdoor.internal.work;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.NodeId;
import org.carobdoor.RunState;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkProgress;
import org.junit.jupiter.api.Test;

/**
 * Guards against two owners of one request: checks the reply to single messages in given states.
 */
final class WorkTableTest {
    private static final String ID = "0".repeat(32) + ".YQ";
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");
    private static final int NEXT_TERM = Epoch.startOfTermAfter(0);

    private final SimCluster cluster = new SimCluster(1);
    private final SimNode holder = cluster.addNode("h", "z1");

    private static WorkCopy copy(int epoch, String... tokens) {
        var answer = new AnswerBuffer();
        for (String token : tokens) {
            answer.add(answer.tokens(), 1, token, false);
        }
        var request = new WorkRequest(ID, Bytes.utf8("p"), true, Instant.ofEpochSecond(1_000));
        return CopyCodec.encode(request, epoch, answer);
    }

    private static WorkProgress chunk(int epoch, int offset, String text) {
        return new WorkProgress(List.of(new WorkChunk(ID, epoch, offset, 1, text, false)));
    }

    private WorkAck tell(NodeId from, PeerMessage message) {
        return (WorkAck) Objects.requireNonNull(holder.handle(from, message));
    }

    private String held() {
        return ((CopyHolderRole) holder.table.role(ID).orElseThrow()).answer().text();
    }

    @Test
    void chunkOfOldEpochIsDropped() {
        tell(A, copy(1, "a0"));
        tell(B, copy(NEXT_TERM, "a0"));
        assertThat(tell(A, chunk(1, 1, "a1")).offsets()).isEmpty();
        assertThat(tell(B, chunk(NEXT_TERM, 1, "b1")).offsets()).containsExactly(ID, 2);
        assertThat(tell(B, chunk(1, 2, "b2")).offsets()).containsExactly(ID, 2);
        assertThat(held()).isEqualTo("a0b1");
    }

    @Test
    void holderStaysWithItsOwnerWithinTerm() {
        tell(A, copy(1, "a0"));
        assertThat(tell(B, copy(2)).offsets()).isEmpty();
        assertThat(held()).isEqualTo("a0");
    }

    @Test
    void lateCopyDoesNotReviveGivenUpPart() {
        assertThat(tell(A, new WorkAck(Map.of(), Map.of(ID, 2))).epochs()).containsKey(ID);
        assertThat(tell(A, copy(1, "a0")).offsets()).isEmpty();
    }

    @Test
    void holderShowsNothingToReaders() {
        tell(A, copy(1, "a0"));
        assertThat(holder.table.read(ID, 0)).isEqualTo(new ReadResult.Redirect(A, 1));
    }

    @Test
    void copyGoesToAnotherZoneAndElseToTheSame() {
        assertThat(HolderSelector.choose(ID, holder, Set.of())).isEmpty();
        SimNode near = cluster.addNode("n", "z1");
        assertThat(HolderSelector.choose(ID, holder, Set.of()).orElseThrow().id())
                .isEqualTo(near.id);
        cluster.addNode("m", "z2");
        assertThat(HolderSelector.choose(ID, holder, Set.of()).orElseThrow().zone())
                .isEqualTo(new AvailabilityZone("z2"));
    }

    @Test
    void submittedRequestWithoutPeersIsRefused() {
        var request = new WorkRequest(ID, Bytes.utf8("p"), true, Instant.ofEpochSecond(1_000));
        assertThat(holder.table.accept(request).getFirst())
                .isEqualTo(new WorkOperation.Refused(ID, RunState.NOT_RUN));
        assertThat(holder.table.read(ID, 0)).isEqualTo(new ReadResult.Unknown());
    }
}
