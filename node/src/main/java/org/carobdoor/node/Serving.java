package org.carobdoor.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.admission.Admission;
import org.carobdoor.internal.admission.AdmissionSettings;
import org.carobdoor.internal.burn.BurnAccount;
import org.carobdoor.internal.burn.EntryBurn;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.claims.KeyPolicy;
import org.carobdoor.internal.routing.AffinityRouter;
import org.carobdoor.internal.routing.PrefixCacheModel;
import org.carobdoor.internal.routing.RoutingWeights;
import org.carobdoor.internal.routing.ViewLoads;
import org.carobdoor.node.admission.RequestGate;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.ClaimSettings;
import org.carobdoor.node.endpoint.EndpointChooser;
import org.carobdoor.node.endpoint.EndpointHttp;
import org.carobdoor.node.endpoint.EngineClient;
import org.carobdoor.node.endpoint.RoutedChooser;
import org.carobdoor.node.endpoint.ServiceClient;
import org.carobdoor.node.execution.Executor;
import org.carobdoor.node.execution.PayloadCodec;
import org.carobdoor.node.execution.SubmittedClaims;
import org.carobdoor.node.execution.UsageBook;
import org.carobdoor.node.limits.LimitService;
import org.carobdoor.node.metrics.ClaimMetrics;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.metrics.WorkMetrics;
import org.carobdoor.node.service.OnceCalls;
import org.carobdoor.node.service.ServiceCalls;
import org.carobdoor.node.settings.NodeSettings;
import org.carobdoor.node.settings.RequestSettings;
import org.carobdoor.node.work.KeyValueTakeoverStore;
import org.carobdoor.node.work.WorkPorts;
import org.carobdoor.node.work.WorkService;

/** What executes the requests of callers. */
final class Serving implements AutoCloseable {
    /** Blocks of 64 tokens remembered for each endpoint; bounds the memory of the cache model. */
    private static final int CACHE_BLOCKS = 512;

    private static final long MAX_ANSWER_BYTES = 8 << 20;
    private static final Duration KEY_SKEW = Duration.ofMinutes(5);

    private final EndpointHttp http;
    private final LimitService limits;
    private final RequestGate gate;
    private final WorkService work;
    private final PayloadCodec codec = new PayloadCodec(new ObjectMapper());
    private final UsageBook usage = new UsageBook();
    private final ServiceCalls services;
    private final ClaimService claims;
    private final OnceCalls once;
    private final BurnAccount burn;

    private Serving(
            NodeSettings settings,
            Cluster cluster,
            NodeMetrics metrics,
            InstantSource clock,
            RandomGenerator random) {
        RequestSettings requests = settings.requests();
        this.http = EndpointHttp.create(requests.connectTimeout(), requests.progressTimeout());
        this.burn = BurnAccount.create(clock);
        PrefixCacheModel cache = PrefixCacheModel.create(CACHE_BLOCKS);
        cluster.endpoints().onChange(cache::onState);
        AffinityRouter router =
                AffinityRouter.create(
                        cluster.endpoints(), cache, RoutingWeights.defaults(), clock, random);
        EndpointChooser chooser =
                new RoutedChooser(cluster.endpoints(), router, settings.zone(), clock);
        EngineClient engines = new EngineClient(http, new ObjectMapper(), clock);
        this.services = new ServiceCalls(chooser, new ServiceClient(http, clock, MAX_ANSWER_BYTES));
        this.claims =
                ClaimService.start(
                        claimSettings(requests),
                        cluster.store(),
                        cluster.network(),
                        cluster.view(),
                        clock,
                        random,
                        new ClaimMetrics(metrics));
        this.once = new OnceCalls(claims, services);
        this.limits =
                LimitService.start(
                        cluster.network(),
                        cluster.view(),
                        clock,
                        entry -> cluster.catalogue().find(entry).map(CatalogueEntry::limits));
        this.gate =
                new RequestGate(
                        Admission.create(AdmissionSettings.defaults(), clock),
                        ViewLoads.create(cluster.endpoints(), clock),
                        limits,
                        burn,
                        metrics,
                        clock);
        SubmittedClaims submitted = new SubmittedClaims(claims, cluster.catalogue(), codec);
        this.work =
                WorkService.start(
                        new WorkPorts(
                                cluster.network(),
                                cluster.view(),
                                new Executor(
                                        cluster.catalogue(),
                                        chooser,
                                        engines,
                                        services,
                                        submitted,
                                        codec,
                                        usage),
                                KeyValueTakeoverStore.create(cluster.store()),
                                submitted,
                                new WorkMetrics(metrics),
                                clock,
                                random));
    }

    private static ClaimSettings claimSettings(RequestSettings requests) {
        ClaimSettings d = ClaimSettings.DEFAULT;
        return new ClaimSettings(
                d.log(),
                new KeyPolicy(requests.rememberKeys(), KEY_SKEW),
                requests.keepAnswers(),
                d.answerBytes(),
                d.idleLogKept());
    }

    /** Starts the executors. */
    static Serving start(
            NodeSettings settings,
            Cluster cluster,
            NodeMetrics metrics,
            InstantSource clock,
            RandomGenerator random) {
        return new Serving(settings, cluster, metrics, clock, random);
    }

    RequestGate gate() {
        return gate;
    }

    WorkService work() {
        return work;
    }

    PayloadCodec codec() {
        return codec;
    }

    UsageBook usage() {
        return usage;
    }

    ServiceCalls services() {
        return services;
    }

    OnceCalls once() {
        return once;
    }

    ClaimService claims() {
        return claims;
    }

    List<EntryBurn> burn() {
        return burn.report();
    }

    @Override
    public void close() {
        work.close();
        limits.close();
        claims.close();
        http.close();
    }
}
