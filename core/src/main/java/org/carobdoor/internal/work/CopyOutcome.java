package org.carobdoor.internal.work;

import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkCopy;

/** The outcome of {@link WorkOperation.SendCopy}. */
public sealed interface CopyOutcome {

    /** Returns the outcome that {@code reply} reports for {@code copy}. */
    static CopyOutcome of(WorkCopy copy, WorkAck reply) {
        Integer position = reply.offsets().get(copy.requestId());
        boolean same = reply.epochs().getOrDefault(copy.requestId(), 0) == copy.epoch();
        return position != null && same ? new Held(position) : new NotConfirmed();
    }

    /** The peer has stored the copy, with the answer up to {@code position}. */
    record Held(int position) implements CopyOutcome {}

    /** The copy was certainly not sent. */
    record NotSent() implements CopyOutcome {}

    /**
     * The peer refused the copy or did not reply. In both cases the peer may still store it: a
     * duplicate of the message can arrive after the reason for the refusal no longer applies.
     */
    record NotConfirmed() implements CopyOutcome {}
}
