package org.carobdoor.bench.experiment;

import org.carobdoor.internal.routing.PrefixHashes;

/** One attempt of a request at a {@link FakeEngine}. */
final class Sequence {
    final long number;
    final int priority;
    final PrefixHashes prefix;
    final int promptTokens;
    final boolean isImported;
    final Listener listener;
    int outputLeft;
    int promptLeft;
    int promptComputed;
    int emitted;
    boolean isRunning;

    /** Receives the events of a sequence. */
    interface Listener {
        void onToken(Sequence s);

        void onInterrupted(Sequence s);
    }

    Sequence(
            long number,
            int priority,
            PrefixHashes prefix,
            int promptTokens,
            int outputTokens,
            boolean isImported,
            Listener listener) {
        this.number = number;
        this.priority = priority;
        this.prefix = prefix;
        this.promptTokens = promptTokens;
        this.outputLeft = outputTokens;
        this.isImported = isImported;
        this.listener = listener;
    }

    boolean isDecoding() {
        return isRunning && promptLeft == 0;
    }
}
