package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.util.List;
import java.util.Optional;

/**
 * The running attempt of an owner. Attempts are numbered, so that tokens of one that was given up
 * but still pushes are dropped.
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

    /** Starts an attempt unless one runs or the answer has ended. */
    List<WorkOperation> startIfNeeded() {
        if (running || answer.complete() || failure.isPresent()) {
            return List.of();
        }
        running = true;
        number++;
        return List.of(
                new WorkOperation.StartAttempt(request, number, answer.tokens(), answer.text()));
    }

    /** Adds tokens of attempt {@code from}; returns whether the answer has grown. */
    boolean add(int from, int tokens, String text, boolean last) {
        if (!running || from != number) {
            return false;
        }
        if (!answer.fits(text)) {
            running = false;
            failure = Optional.of("the answer is longer than allowed");
            return true;
        }
        int before = answer.position();
        answer.add(answer.tokens(), tokens, text, last);
        checkInvariant(answer.position() >= before, "an answer became shorter");
        running = !answer.complete();
        return answer.position() > before;
    }

    /** Ends attempt {@code which}; with a reason, the request has failed for good. */
    boolean end(int which, Optional<String> reason) {
        if (!running || which != number) {
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
