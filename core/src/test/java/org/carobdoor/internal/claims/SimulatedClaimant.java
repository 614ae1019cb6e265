package org.carobdoor.internal.claims;

import java.util.List;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;

/** A request that claims its key and then sends, releases the claim, or crashes with its node. */
final class SimulatedClaimant {
    private final Simulator sim;
    private final List<SimulatedOwner> owners;
    private final KeyHistory history;
    private final double faultRate;
    private final int view;
    final Claimant claimant;
    boolean crashed;
    private boolean decided;
    private int asked;

    SimulatedClaimant(
            Simulator sim,
            List<SimulatedOwner> owners,
            KeyHistory history,
            double faultRate,
            ClaimRequest request) {
        this.sim = sim;
        this.owners = owners;
        this.history = history;
        this.faultRate = faultRate;
        this.view = sim.chance(0.8) ? 0 : sim.random.nextInt(owners.size());
        this.claimant = new Claimant(request, sim.clock(java.time.Duration.ZERO), sim.random);
    }

    void step() {
        if (crashed) {
            return;
        }
        switch (claimant.next()) {
            case ClaimantStep.Idle idle -> {}
            case ClaimantStep.Pause pause -> sim.schedule(pause.until(), this::step);
            case ClaimantStep.Ask ask -> ask(ask);
        }
        if (!decided && claimant.verdict().isPresent()) {
            decided = true;
            if (claimant.verdict().get() instanceof ClaimVerdict.Granted) {
                history.onGrant(claimant);
                sim.scheduleWithin(sim.chance(0.1) ? 3000 : 10, this::use);
            }
        }
    }

    private void ask(ClaimantStep.Ask ask) {
        asked++;
        int round = asked;
        SimulatedOwner owner = owners.get((view + ask.candidate()) % owners.size());
        int copies = sim.chance(faultRate) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!sim.chance(faultRate)) {
                sim.scheduleWithin(
                        sim.chance(faultRate) ? 3000 : 3,
                        () -> owner.receive(ask.message(), reply -> answer(round, reply)));
            }
        }
        sim.schedule(
                ask.deadline(), () -> onResult(round, FaultyStore.failure(FailureKind.UNKNOWN)));
    }

    private void answer(int round, ClaimReply reply) {
        if (!sim.chance(faultRate)) {
            sim.scheduleWithin(3, () -> onResult(round, Result.ok(reply)));
        }
    }

    private void onResult(int round, Result<ClaimReply> result) {
        if (round == asked && !crashed) {
            asked++;
            claimant.onReply(result);
            step();
        }
    }

    private void use() {
        switch (sim.random.nextInt(6)) {
            case 0 -> crashed = true;
            case 1, 2 -> {
                history.onRelease(claimant);
                claimant.release();
            }
            default -> {
                if (claimant.beginSend()) {
                    history.onSend(claimant);
                    claimant.done(200);
                } else {
                    history.onRelease(claimant);
                    claimant.release();
                }
            }
        }
        step();
    }
}
