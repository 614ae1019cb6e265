package org.carobdoor.internal.work;

import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkCopy;

/** What became of a copy that was sent. */
public sealed interface CopyOutcome {

    /** Returns what the acknowledgement {@code reply} of {@code copy} says. */
    static CopyOutcome of(WorkCopy copy, WorkAck reply) {
        Integer position = reply.offsets().get(copy.requestId());
        boolean same = reply.epochs().getOrDefault(copy.requestId(), 0) == copy.epoch();
        return position != null && same ? new Held(position) : new NotConfirmed();
    }

    /** The peer keeps the copy and holds the answer up to {@code position}. */
    record Held(int position) implements CopyOutcome {}

    /** The copy was certainly not sent. */
    record NotSent() implements CopyOutcome {}

    /**
     * The peer refused the copy, or no answer arrived. Either way the peer may come to keep it: a
     * repeated message can arrive after the reason for the refusal is gone.
     */
    record NotConfirmed() implements CopyOutcome {}
}
