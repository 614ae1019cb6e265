package org.carobdoor.internal.admission;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/**
 * Admission control that sheds the lowest priority class first. Thread-safe.
 *
 * <p>A class is admitted while the outstanding tokens per endpoint are within its share of the
 * measured capacity. The capacity rises slowly while objectives are met and falls at once when they
 * are missed (additive-increase, multiplicative-decrease after Chiu and Jain, "Analysis of the
 * Increase and Decrease Algorithms for Congestion Avoidance", 1989, with a small multiplicative
 * increase).
 *
 * <p>Whether a request is shed depends on its class and the load, never on its size. A request of
 * class 1 is therefore never shed while a lower class would be admitted to the same endpoints; this
 * is checked at each decision.
 *
 * <pre>{@code
 * switch (admission.admit(request.targets(), entry.priority(), loads)) {
 *     case AdmissionDecision.Admitted(var targets) -> route(request.within(targets));
 *     case AdmissionDecision.Shed(var reason) -> refuse(reason);
 * }
 * }</pre>
 */
public final class Admission {
    private final AdmissionSettings settings;
    private final InstantSource clock;
    private final Map<String, TargetCapacity> capacities = new ConcurrentHashMap<>();

    private Admission(AdmissionSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Returns an admission control that has measured nothing yet. */
    public static Admission create(AdmissionSettings settings, InstantSource clock) {
        return new Admission(settings, clock);
    }

    /**
     * Decides whether to admit a request of class {@code priority} that any of {@code targets} may
     * serve.
     */
    public AdmissionDecision admit(List<String> targets, int priority, PoolLoads loads) {
        List<String> admitted = new ArrayList<>(targets.size());
        for (String target : targets) {
            if (capacityOf(target).admits(priority, loads, target)) {
                admitted.add(target);
            }
        }
        return admitted.isEmpty()
                ? new AdmissionDecision.Shed(
                        "no capacity for class " + priority + " at " + String.join(", ", targets))
                : new AdmissionDecision.Admitted(admitted);
    }

    /**
     * Records how a request to {@code target} was served. Requests that failed or were interrupted
     * by a reclaim must not be recorded, since they say nothing about capacity.
     *
     * @param gapMillis the mean time between tokens, 0 for an answer of one token
     */
    public void onServed(
            String target, CatalogueEntry entry, double firstTokenMillis, double gapMillis) {
        boolean met =
                firstTokenMillis <= entry.objective().firstTokenMillis()
                        && gapMillis <= entry.objective().tokenGapMillis();
        capacityOf(target).onServed(met, entry.objective().targetPercent(), clock.instant());
    }

    /** Returns the number of outstanding tokens that an endpoint of {@code target} can take. */
    public double capacityPerEndpoint(String target) {
        return capacityOf(target).capacity();
    }

    private TargetCapacity capacityOf(String target) {
        return capacities.computeIfAbsent(
                target, t -> new TargetCapacity(settings, clock.instant()));
    }
}
