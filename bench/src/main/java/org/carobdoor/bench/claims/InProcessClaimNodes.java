package org.carobdoor.bench.claims;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipListener;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.node.claims.ClaimListener;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.ClaimSettings;
import org.carobdoor.standins.fake.FakePeerNetwork;

/** The claim services of several nodes, connected by a fake network in this process. */
final class InProcessClaimNodes implements AutoCloseable {
    final List<ClaimService> services = new ArrayList<>();

    InProcessClaimNodes(int count, KeyValueStore store) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(
                    new Member(
                            new NodeId("node-" + i),
                            new AvailabilityZone("zone-" + i % 3),
                            new InetSocketAddress("127.0.0.1", 1 + i),
                            MemberState.ALIVE,
                            true));
        }
        InstantSource clock = InstantSource.system();
        FakePeerNetwork network = FakePeerNetwork.create(1, clock);
        for (Member member : members) {
            services.add(
                    ClaimService.start(
                            ClaimSettings.DEFAULT,
                            store,
                            network.node(member.id()),
                            new FixedMembershipView(member, members),
                            clock,
                            new SecureRandom(),
                            ClaimListener.NONE));
        }
    }

    @Override
    public void close() {
        services.forEach(ClaimService::close);
    }

    private record FixedMembershipView(Member self, List<Member> live) implements MembershipView {
        @Override
        public Optional<Member> find(NodeId id) {
            return live.stream().filter(member -> member.id().equals(id)).findFirst();
        }

        @Override
        public void onChange(MembershipListener listener) {}
    }
}
