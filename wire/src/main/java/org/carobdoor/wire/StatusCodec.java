package org.carobdoor.wire;

import java.util.ArrayList;
import java.util.List;
import org.carobdoor.message.AccountUse;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.QuotaLoanReply;
import org.carobdoor.message.QuotaLoanRequest;
import org.carobdoor.message.StatusBatch;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.message.StoreNews;
import org.carobdoor.message.StoreNewsRequest;
import org.carobdoor.message.UsageWindow;
import org.carobdoor.wire.proto.MessagesProto;

/** Converts node status and store mirror messages to protobuf and back. */
final class StatusCodec {
    private StatusCodec() {}

    static MessagesProto.NodeStatus encode(NodeStatus m) {
        MessagesProto.NodeStatus.Builder b =
                MessagesProto.NodeStatus.newBuilder()
                        .setNode(m.node())
                        .setStartedAt(m.startedAtMillis())
                        .setZone(m.zone())
                        .setTime(m.timeMillis())
                        .setConfigurationRevision(m.configurationRevision())
                        .setDirectoryRevision(m.directoryRevision())
                        .putAllWorkMillis(m.workMillis())
                        .setQuarantineDigest(m.quarantineDigest())
                        .setSequence(m.sequence())
                        .setComplete(m.complete())
                        .setUnserved(m.unserved())
                        .setStoreEra(m.storeEra());
        m.evidence().forEach(e -> b.addEvidence(EvidenceCodec.encode(e)));
        m.versions().forEach(v -> b.addVersions(EvidenceCodec.encode(v)));
        for (AccountUse a : m.accounts()) {
            MessagesProto.AccountUse.Builder account =
                    b.addAccountsBuilder().setAccount(a.account()).setGranted(a.granted());
            a.recent().forEach(units -> account.addRecent(units.floatValue()));
        }
        for (EndpointUse e : m.endpoints()) {
            b.addEndpointsBuilder()
                    .setEndpoint(e.endpoint())
                    .setRunning(e.running())
                    .setUnreadTokens(e.unreadTokens());
        }
        for (UsageWindow w : m.windows()) {
            b.addWindowsBuilder().setWindow(w.window()).putAllCounts(w.counts());
        }
        return b.build();
    }

    static NodeStatus decode(MessagesProto.NodeStatus p) {
        List<AccountUse> accounts = new ArrayList<>(p.getAccountsCount());
        for (MessagesProto.AccountUse a : p.getAccountsList()) {
            accounts.add(decode(a));
        }
        List<EndpointUse> endpoints = new ArrayList<>(p.getEndpointsCount());
        for (MessagesProto.EndpointUse e : p.getEndpointsList()) {
            endpoints.add(new EndpointUse(e.getEndpoint(), e.getRunning(), e.getUnreadTokens()));
        }
        List<UsageWindow> windows = new ArrayList<>(p.getWindowsCount());
        for (MessagesProto.UsageWindow w : p.getWindowsList()) {
            windows.add(new UsageWindow(w.getWindow(), w.getCountsMap()));
        }
        return new NodeStatus(
                p.getNode(),
                p.getStartedAt(),
                p.getZone(),
                p.getTime(),
                p.getConfigurationRevision(),
                p.getDirectoryRevision(),
                accounts,
                endpoints,
                windows,
                p.getWorkMillisMap(),
                p.getQuarantineDigest(),
                p.getSequence(),
                p.getComplete(),
                p.getUnserved(),
                p.getStoreEra(),
                p.getEvidenceList().stream().map(EvidenceCodec::decode).toList(),
                p.getVersionsList().stream().map(EvidenceCodec::decode).toList());
    }

    static MessagesProto.StatusBatch encode(StatusBatch m) {
        return MessagesProto.StatusBatch.newBuilder()
                .addAllStatuses(m.statuses().stream().map(StatusCodec::encode).toList())
                .build();
    }

    static StatusBatch decode(MessagesProto.StatusBatch p) {
        return new StatusBatch(p.getStatusesList().stream().map(StatusCodec::decode).toList());
    }

    private static AccountUse decode(MessagesProto.AccountUse p) {
        return new AccountUse(
                p.getAccount(),
                p.getGranted(),
                p.getRecentList().stream().map(Float::doubleValue).toList());
    }

    static MessagesProto.StoreMirrorRequest encode(StoreMirrorRequest m) {
        return MessagesProto.StoreMirrorRequest.newBuilder()
                .setConfigurationRevision(m.configurationRevision())
                .setDirectoryRevision(m.directoryRevision())
                .build();
    }

    static StoreMirrorRequest decode(MessagesProto.StoreMirrorRequest p) {
        return new StoreMirrorRequest(p.getConfigurationRevision(), p.getDirectoryRevision());
    }

    static MessagesProto.StoreMirror encode(StoreMirror m) {
        return MessagesProto.StoreMirror.newBuilder()
                .addAllConfiguration(
                        m.configuration().stream().map(MessageEncoder::encode).toList())
                .setDirectoryRevision(m.directoryRevision())
                .addAllEndpoints(m.endpoints().stream().map(MessageEncoder::encode).toList())
                .build();
    }

    static StoreMirror decode(MessagesProto.StoreMirror p) {
        return new StoreMirror(
                p.getConfigurationList().stream().map(MessageDecoder::decodeReplicaItem).toList(),
                p.getDirectoryRevision(),
                p.getEndpointsList().stream().map(MessageDecoder::decodeReplicaItem).toList());
    }

    static MessagesProto.StoreNews encode(StoreNews m) {
        return MessagesProto.StoreNews.newBuilder()
                .setEra(m.era())
                .setPrefix(m.prefix())
                .setAfterRevision(m.afterRevision())
                .setRevision(m.revision())
                .addAllItems(m.items().stream().map(MessageEncoder::encode).toList())
                .setAgeMillis(m.ageMillis())
                .setSentNanos(m.sentNanos())
                .build();
    }

    static StoreNews decode(MessagesProto.StoreNews p) {
        return new StoreNews(
                p.getEra(),
                p.getPrefix(),
                p.getAfterRevision(),
                p.getRevision(),
                p.getItemsList().stream().map(MessageDecoder::decodeReplicaItem).toList(),
                p.getAgeMillis(),
                p.getSentNanos());
    }

    static MessagesProto.StoreNewsRequest encode(StoreNewsRequest m) {
        return MessagesProto.StoreNewsRequest.newBuilder()
                .setEra(m.era())
                .setPrefix(m.prefix())
                .setRevision(m.revision())
                .build();
    }

    static StoreNewsRequest decode(MessagesProto.StoreNewsRequest p) {
        return new StoreNewsRequest(p.getEra(), p.getPrefix(), p.getRevision());
    }

    static MessagesProto.QuotaLoanRequest encode(QuotaLoanRequest m) {
        return MessagesProto.QuotaLoanRequest.newBuilder()
                .setNumber(m.number())
                .setAccount(m.account())
                .setUnits(m.units())
                .build();
    }

    static QuotaLoanRequest decode(MessagesProto.QuotaLoanRequest p) {
        return new QuotaLoanRequest(p.getNumber(), p.getAccount(), p.getUnits());
    }

    static MessagesProto.QuotaLoanReply encode(QuotaLoanReply m) {
        return MessagesProto.QuotaLoanReply.newBuilder()
                .setNumber(m.number())
                .setGranted(m.granted())
                .build();
    }

    static QuotaLoanReply decode(MessagesProto.QuotaLoanReply p) {
        return new QuotaLoanReply(p.getNumber(), p.getGranted());
    }
}
