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
 * A platform in one process: key-value service, cloud API, weight store and test controls.
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
    private final FaultSwitch faults;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());
    private final PlatformOptions options;
    private final @Nullable VmStarter starter;
    private final KeyValueRoutes keyValueRoutes;
    private final StandInServer server;

    private PlatformStandIn(PlatformOptions options, @Nullable VmStarter starter) {
        this.options = options;
        this.starter = starter;
        faults = new FaultSwitch(PlatformFaults.none(options.listLagMillis()));
        keyValueRoutes = new KeyValueRoutes(keyValues, faults, clock, options);
        var cloudRoutes = new CloudRoutes(cloud, prices, faults, options, this::startLater);
        server =
                StandInServer.start(
                        options.port(),
                        app -> {
                            keyValueRoutes.addTo(app);
                            cloudRoutes.addTo(app);
                            addControls(app);
                        });
    }

    /** Starts a platform; VMs that are ordered stay {@code starting} until they are registered. */
    public static PlatformStandIn start(PlatformOptions options) {
        return new PlatformStandIn(options, null);
    }

    /** Starts a platform that runs {@code starter} for each VM that is ordered. */
    public static PlatformStandIn start(PlatformOptions options, VmStarter starter) {
        return new PlatformStandIn(options, starter);
    }

    /** Returns the base URL, without a slash at the end. */
    public String url() {
        return server.url();
    }

    /** Returns the port. */
    public int port() {
        return server.port();
    }

    /** Returns the contents of the key-value service, for checks and direct changes by a test. */
    public KeyValueState keyValues() {
        return keyValues;
    }

    /** Returns the faults that are imitated now. */
    public PlatformFaults faults() {
        return faults.get();
    }

    /** Replaces the faults that are imitated. */
    public void setFaults(PlatformFaults value) {
        faults.update(f -> value);
    }

    /** Returns how often each kind of call of the key-value service arrived. */
    public ObjectNode stats() {
        return keyValueRoutes.stats();
    }

    /** Adds or replaces a VM. */
    public void register(CloudVm vm) {
        cloud.put(vm);
    }

    /** Announces the reclaim of one VM and takes it off the list {@code noticeMillis} later. */
    public List<ReclaimNotice> reclaimVm(String id, long noticeMillis) {
        return reclaim(vm -> vm.id().equals(id), noticeMillis);
    }

    /** Announces the reclaim of all reclaimable VMs of a zone. */
    public List<ReclaimNotice> reclaimZone(String zone, long noticeMillis) {
        return reclaim(
                vm -> vm.zone().equals(zone) && vm.pricing().equals("reclaimable"), noticeMillis);
    }

    private List<ReclaimNotice> reclaim(Predicate<CloudVm> which, long noticeMillis) {
        List<ReclaimNotice> added = cloud.announce(which, noticeMillis);
        for (ReclaimNotice notice : added) {
            schedule(() -> cloud.remove(notice.vmId()), noticeMillis);
        }
        return added;
    }

    private void startLater(CloudVm vm) {
        VmStarter start = starter;
        if (start != null) {
            schedule(() -> cloud.started(vm.id(), start.start(vm)), options.startMillis());
        }
    }

    private void schedule(Runnable task, long millis) {
        var unused = timer.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void addControls(Jooby app) {
        StandInServer.post(app, "/control/faults", this::changeFaults);
        StandInServer.post(app, "/control/vms", this::registerVm);
        StandInServer.post(app, "/control/reclaim", this::reclaimFromControl);
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
        String used = id.isBlank() ? cloud.newId() : id;
        register(CloudVm.fromJson(body, used));
        return Reply.ok(Json.object().put("id", used));
    }

    private Reply reclaimFromControl(Context context) throws Exception {
        JsonNode body = Json.body(context);
        long noticeMillis = body.path("noticeMillis").asLong(5_000);
        List<ReclaimNotice> added =
                body.has("vmId")
                        ? reclaimVm(body.path("vmId").asText(), noticeMillis)
                        : reclaimZone(body.path("zone").asText(), noticeMillis);
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("notices");
        added.forEach(n -> list.add(n.toJson()));
        return Reply.ok(json);
    }

    private Reply changePrices(Context context) throws Exception {
        prices.setAll(Json.body(context).path("prices"));
        return Reply.ok(prices.toJson());
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }
}
