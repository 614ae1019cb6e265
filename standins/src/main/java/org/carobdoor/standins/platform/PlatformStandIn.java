package org.carobdoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;
import org.jspecify.annotations.Nullable;

/**
 * An in-process platform: key-value service, cloud API, weight store and routes for test control.
 *
 * <pre>{@code
 * try (var platform = PlatformStandIn.start(PlatformOptions.defaults())) {
 *     platform.register(CloudVm.endpoint("vm-a", "zone-a", address, "engine", models));
 *     platform.reclaimZone("zone-a", 5_000);
 * }
 * }</pre>
 */
public final class PlatformStandIn implements AutoCloseable {
    private final InstantSource clock = InstantSource.system();
    private final KeyValueState keyValues = new KeyValueState(clock);
    private final CloudState cloud = new CloudState(clock);
    private final PriceTable prices = new PriceTable();
    private final ActiveFaults faults;
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());
    private final PlatformOptions options;
    private final @Nullable VmStarter starter;
    private final KeyValueRoutes keyValueRoutes;
    private final StandInServer server;

    private PlatformStandIn(PlatformOptions options, @Nullable VmStarter starter) {
        this.options = options;
        this.starter = starter;
        faults = new ActiveFaults(PlatformFaults.none(options.listLagMillis()));
        keyValueRoutes = new KeyValueRoutes(keyValues, faults, clock, options);
        var cloudRoutes = new CloudRoutes(cloud, prices, faults, options, this::scheduleStart);
        server =
                StandInServer.start(
                        options.port(),
                        app -> {
                            keyValueRoutes.addTo(app);
                            cloudRoutes.addTo(app);
                            addControlRoutes(app);
                        });
    }

    /** Starts a platform. An ordered VM stays {@code starting} until it is registered. */
    public static PlatformStandIn start(PlatformOptions options) {
        return new PlatformStandIn(options, null);
    }

    /** Starts a platform that calls {@code starter} for each ordered VM. */
    public static PlatformStandIn start(PlatformOptions options, VmStarter starter) {
        return new PlatformStandIn(options, starter);
    }

    /** Returns the base URL, without a trailing slash. */
    public String url() {
        return server.url();
    }

    /** Returns the port that the platform listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the contents of the key-value service, for assertions and direct changes. */
    public KeyValueState keyValues() {
        return keyValues;
    }

    /** Returns the faults that are currently simulated. */
    public PlatformFaults faults() {
        return faults.get();
    }

    /** Replaces the faults that are simulated. */
    public void setFaults(PlatformFaults value) {
        faults.update(f -> value);
    }

    /** Returns the number of calls of the key-value service by kind. */
    public ObjectNode stats() {
        return keyValueRoutes.stats();
    }

    /** Adds or replaces a VM. */
    public void register(CloudVm vm) {
        cloud.put(vm);
    }

    /** Announces the reclaim of a VM and removes it {@code noticeMillis} later. */
    public List<ReclaimNotice> reclaimVm(String id, long noticeMillis) {
        return reclaim(vm -> vm.id().equals(id), noticeMillis);
    }

    /**
     * Announces the reclaim of all reclaimable VMs of a zone and removes them {@code noticeMillis}
     * later.
     */
    public List<ReclaimNotice> reclaimZone(String zone, long noticeMillis) {
        return reclaim(
                vm -> vm.zone().equals(zone) && vm.pricing().equals("reclaimable"), noticeMillis);
    }

    private List<ReclaimNotice> reclaim(Predicate<CloudVm> filter, long noticeMillis) {
        List<ReclaimNotice> notices = cloud.announceReclaim(filter, noticeMillis);
        for (ReclaimNotice notice : notices) {
            schedule(() -> cloud.remove(notice.vmId()), noticeMillis);
        }
        return notices;
    }

    private void scheduleStart(CloudVm vm) {
        VmStarter vmStarter = starter;
        if (vmStarter != null) {
            schedule(() -> cloud.markStarted(vm.id(), vmStarter.start(vm)), options.startMillis());
        }
    }

    private void schedule(Runnable task, long millis) {
        var unused = scheduler.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void addControlRoutes(Jooby app) {
        StandInServer.post(app, "/control/faults", this::changeFaults);
        StandInServer.post(app, "/control/vms", this::registerVm);
        StandInServer.post(app, "/control/reclaim", this::reclaimVms);
        StandInServer.post(app, "/control/prices", this::changePrices);
    }

    private Reply changeFaults(Context context) throws Exception {
        JsonNode body = Json.body(context);
        faults.update(f -> f.with(body));
        return Reply.ok(Json.object());
    }

    private Reply registerVm(Context context) throws Exception {
        JsonNode body = Json.body(context);
        String id = body.path("id").asText();
        String vmId = id.isBlank() ? cloud.newId() : id;
        register(CloudVm.fromJson(body, vmId));
        return Reply.ok(Json.object().put("id", vmId));
    }

    private Reply reclaimVms(Context context) throws Exception {
        JsonNode body = Json.body(context);
        long noticeMillis = body.path("noticeMillis").asLong(5_000);
        List<ReclaimNotice> notices =
                body.has("vmId")
                        ? reclaimVm(body.path("vmId").asText(), noticeMillis)
                        : reclaimZone(body.path("zone").asText(), noticeMillis);
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("notices");
        notices.forEach(n -> list.add(n.toJson()));
        return Reply.ok(json);
    }

    private Reply changePrices(Context context) throws Exception {
        prices.setAll(Json.body(context).path("prices"));
        return Reply.ok(prices.toJson());
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        server.close();
    }
}
