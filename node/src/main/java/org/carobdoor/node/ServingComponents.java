package org.carobdoor.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.admission.Admission;
import org.carobdoor.internal.admission.AdmissionSettings;
import org.carobdoor.internal.burn.BurnRateTracker;
import org.carobdoor.internal.burn.EntryBurn;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.claims.KeyPolicy;
import org.carobdoor.internal.routing.AffinityRouter;
import org.carobdoor.internal.routing.PrefixCacheModel;
import org.carobdoor.internal.routing.RoutingWeights;
import org.carobdoor.internal.routing.ViewLoads;
import org.carobdoor.node.admission.AdmissionController;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.ClaimSettings;
import org.carobdoor.node.endpoint.EndpointChooser;
import org.carobdoor.node.endpoint.EndpointHttp;
import org.carobdoor.node.endpoint.EngineClient;
import org.carobdoor.node.endpoint.RoutedChooser;
import org.carobdoor.node.endpoint.ServiceClient;
import org.carobdoor.node.execution.PayloadCodec;
import org.carobdoor.node.execution.SubmittedCallClaims;
import org.carobdoor.node.execution.UsageTracker;
import org.carobdoor.node.execution.WorkExecutor;
import org.carobdoor.node.limits.LimitService;
import org.carobdoor.node.metrics.ClaimMetrics;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.metrics.WorkMetrics;
import org.carobdoor.node.service.AtMostOnceCalls;
import org.carobdoor.node.service.ServiceCalls;
import org.carobdoor.node.settings.NodeSettings;
import org.carobdoor.node.settings.RequestSettings;
import org.carobdoor.node.work.KeyValueTakeoverStore;
import org.carobdoor.node.work.WorkPorts;
import org.carobdoor.node.work.WorkService;

/** The components that execute the requests of callers. */
final class ServingComponents implements AutoCloseable {
    /** Prefix blocks of 64 tokens tracked per endpoint; bounds the memory of the cache model. */
    private static final int CACHE_BLOCKS_PER_ENDPOINT = 512;

    private static final long MAX_ANSWER_BYTES = 8 << 20;
    private static final Duration KEY_CLOCK_SKEW = Duration.ofMinutes(5);

    private final EndpointHttp http;
    private final LimitService limits;
    private final AdmissionController admission;
    private final WorkService work;
    private final PayloadCodec codec = new PayloadCodec(new ObjectMapper());
    private final UsageTracker usage = new UsageTracker();
    private final ServiceCalls services;
    private final ClaimService claims;
    private final AtMostOnceCalls atMostOnceCalls;
    private final BurnRateTracker burn;

    private ServingComponents(
            NodeSettings settings,
            Cluster cluster,
            NodeMetrics metrics,
            InstantSource clock,
            RandomGenerator random) {
        RequestSettings requests = settings.requests();
        this.http = EndpointHttp.create(requests.connectTimeout(), requests.progressTimeout());
        this.burn = BurnRateTracker.create(clock);
        PrefixCacheModel cacheModel = PrefixCacheModel.create(CACHE_BLOCKS_PER_ENDPOINT);
        cluster.endpoints().onChange(cacheModel::onState);
        AffinityRouter router =
                AffinityRouter.create(
                        cluster.endpoints(), cacheModel, RoutingWeights.defaults(), clock, random);
        EndpointChooser chooser =
                new RoutedChooser(cluster.endpoints(), router, settings.zone(), clock);
        EngineClient engines = new EngineClient(http, new ObjectMapper(), clock);
        this.services = new ServiceCalls(chooser, new ServiceClient(http, clock, MAX_ANSWER_BYTES));
        this.claims =
                ClaimService.start(
                        claimSettings(requests),
                        cluster.store(),
                        cluster.network(),
                        cluster.membershipView(),
                        clock,
                        random,
                        new ClaimMetrics(metrics));
        this.atMostOnceCalls = new AtMostOnceCalls(claims, services);
        this.limits =
                LimitService.start(
                        cluster.network(),
                        cluster.membershipView(),
                        clock,
                        entry -> cluster.catalogue().find(entry).map(CatalogueEntry::limits));
        this.admission =
                new AdmissionController(
                        Admission.create(AdmissionSettings.defaults(), clock),
                        ViewLoads.create(cluster.endpoints(), clock),
                        limits,
                        burn,
                        metrics,
                        clock);
        SubmittedCallClaims submittedClaims =
                new SubmittedCallClaims(claims, cluster.catalogue(), codec);
        this.work =
                WorkService.start(
                        new WorkPorts(
                                cluster.network(),
                                cluster.membershipView(),
                                new WorkExecutor(
                                        cluster.catalogue(),
                                        chooser,
                                        engines,
                                        services,
                                        submittedClaims,
                                        codec,
                                        usage),
                                KeyValueTakeoverStore.create(cluster.store()),
                                submittedClaims,
                                new WorkMetrics(metrics),
                                clock,
                                random));
    }

    private static ClaimSettings claimSettings(RequestSettings requests) {
        ClaimSettings defaults = ClaimSettings.DEFAULT;
        return new ClaimSettings(
                defaults.log(),
                new KeyPolicy(requests.keyRetention(), KEY_CLOCK_SKEW),
                requests.answerRetention(),
                defaults.answerBytes(),
                defaults.idleLogKept());
    }

    /** Starts the components. */
    static ServingComponents start(
            NodeSettings settings,
            Cluster cluster,
            NodeMetrics metrics,
            InstantSource clock,
            RandomGenerator random) {
        return new ServingComponents(settings, cluster, metrics, clock, random);
    }

    AdmissionController admission() {
        return admission;
    }

    WorkService work() {
        return work;
    }

    PayloadCodec codec() {
        return codec;
    }

    UsageTracker usage() {
        return usage;
    }

    ServiceCalls services() {
        return services;
    }

    AtMostOnceCalls atMostOnceCalls() {
        return atMostOnceCalls;
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
