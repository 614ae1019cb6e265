package org.carobdoor.bench.work;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipListener;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;

/** A static membership of {@code count} nodes, each in its own zone. */
final class FixedMembershipView implements MembershipView {
    private final List<Member> members = new ArrayList<>();
    private final int self;

    FixedMembershipView(int count, int self) {
        this.self = self;
        for (int i = 0; i < count; i++) {
            members.add(
                    new Member(
                            id(i),
                            new AvailabilityZone("zone-" + i),
                            InetSocketAddress.createUnresolved("bench", 1),
                            MemberState.ALIVE,
                            true));
        }
    }

    static NodeId id(int number) {
        return new NodeId("entry-" + number + "-4f2a91");
    }

    @Override
    public Member self() {
        return members.get(self);
    }

    @Override
    public List<Member> live() {
        return members;
    }

    @Override
    public Optional<Member> find(NodeId id) {
        return members.stream().filter(m -> m.id().equals(id)).findFirst();
    }

    @Override
    public void onChange(MembershipListener listener) {}
}
