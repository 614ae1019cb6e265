package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.util.List;
import java.util.Optional;

/**
 * The current attempt of an owner to generate the answer. Attempts are numbered, so that tokens
 * that still arrive from an abandoned attempt are dropped.
 */
final class OwnerAttempt {
    private final WorkRequest request;
    private final AnswerBuffer answer;
    private int number;
    private boolean running;
    private Optional<String> failure = Optional.empty();

    OwnerAttempt(WorkRequest request, AnswerBuffer answer) {
        this.request = request;
        this.answer = answer;
    }

    /** Starts an attempt unless one is running or the answer is complete or has failed. */
    List<WorkOperation> startIfNeeded() {
        if (running || answer.complete() || failure.isPresent()) {
            return List.of();
        }
        running = true;
        number++;
        return List.of(
                new WorkOperation.StartAttempt(request, number, answer.tokens(), answer.text()));
    }

    /** Adds tokens of an attempt; returns whether the answer has grown or has become too long. */
    boolean add(int attemptNumber, int tokens, String text, boolean last) {
        if (!running || attemptNumber != number) {
            return false;
        }
        if (!answer.fits(text)) {
            running = false;
            failure = Optional.of("answer exceeds the maximum length");
            return true;
        }
        int before = answer.position();
        answer.add(answer.tokens(), tokens, text, last);
        checkInvariant(answer.position() >= before, "adding tokens made the answer shorter");
        running = !answer.complete();
        return answer.position() > before;
    }

    /**
     * Ends an attempt; with a {@code reason}, the request has failed permanently. Returns whether
     * the attempt was running.
     */
    boolean end(int attemptNumber, Optional<String> reason) {
        if (!running || attemptNumber != number) {
            return false;
        }
        running = false;
        failure = reason;
        return true;
    }

    List<WorkOperation> stop() {
        if (!running) {
            return List.of();
        }
        running = false;
        return List.of(new WorkOperation.StopAttempt(request.id(), number));
    }

    boolean failed() {
        return failure.isPresent();
    }
}
