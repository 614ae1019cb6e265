package org.carobdoor.internal.claims;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;

/** An owner of the log that can crash and restart with empty memory. */
final class SimulatedOwner {
    private final Simulator sim;
    private final FaultyStore store;
    private final ClaimLogSettings settings;
    private final ClaimLogListener listener;
    private final InstantSource clock;
    private final Duration offset;
    private Map<Long, Consumer<ClaimReply>> waiting = new HashMap<>();
    private ClaimLog log;
    private boolean busy;
    private int run;

    SimulatedOwner(
            Simulator sim,
            FaultyStore store,
            ClaimLogSettings settings,
            Duration offset,
            ClaimLogListener listener) {
        this.sim = sim;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
        this.offset = offset;
        this.clock = sim.clock(offset);
        this.log = new ClaimLog(settings, clock, sim.random, listener);
    }

    void crash() {
        run++;
        busy = false;
        waiting = new HashMap<>();
        log = new ClaimLog(settings, clock, sim.random, listener);
    }

    void receive(ClaimMessage message, Consumer<ClaimReply> reply) {
        long ticket =
                message instanceof ClaimRequest request
                        ? log.submit(request, "node")
                        : log.submit((ClaimUpdate) message, "node");
        waiting.put(ticket, reply);
        step();
    }

    private void step() {
        if (busy) {
            return;
        }
        LogOperation operation = log.next();
        for (ClaimLogReply logReply : log.drainReplies()) {
            Consumer<ClaimReply> reply = waiting.remove(logReply.ticket());
            requireNonNull(reply).accept(logReply.reply());
        }
        busy = !(operation instanceof LogOperation.Idle || operation instanceof LogOperation.Pause);
        perform(operation);
    }

    private void perform(LogOperation operation) {
        switch (operation) {
            case LogOperation.Idle idle -> {}
            case LogOperation.Pause pause -> pause(pause.until());
            case LogOperation.ReadHead op ->
                    store.read(() -> store.get("head"), outcome(log::onHeadRead));
            case LogOperation.ReadSegments op -> readSegments(op.numbers());
            case LogOperation.WriteHead op ->
                    store.write(
                            () -> store.compareAndSet("head", op.expectedVersion(), op.value()),
                            outcome(log::onHeadWritten));
            case LogOperation.WriteSegment op ->
                    store.write(
                            () -> store.compareAndSet("segment/" + op.number(), 0, op.value()),
                            outcome(log::onSegmentWritten));
            case LogOperation.DeleteSegment op ->
                    store.write(
                            () -> store.delete("segment/" + op.number(), 1),
                            outcome(log::onSegmentDeleted));
        }
    }

    private void pause(Instant until) {
        int before = run;
        sim.schedule(
                until.minus(offset),
                () -> {
                    if (run == before) {
                        step();
                    }
                });
    }

    private void readSegments(List<Long> numbers) {
        store.<List<Optional<VersionedValue>>>read(
                () -> numbers.stream().map(n -> store.get("segment/" + n)).toList(),
                outcome(
                        result -> {
                            List<Result<Optional<VersionedValue>>> all = new ArrayList<>();
                            for (int i = 0; i < numbers.size(); i++) {
                                int index = i;
                                all.add(result.map(list -> list.get(index)));
                            }
                            log.onSegmentsRead(all);
                        }));
    }

    /** Ignores outcomes of operations that were started before a crash. */
    private <T> Consumer<Result<T>> outcome(Consumer<Result<T>> receiver) {
        int before = run;
        return result -> {
            if (run == before) {
                busy = false;
                receiver.accept(result);
                step();
            }
        };
    }
}
