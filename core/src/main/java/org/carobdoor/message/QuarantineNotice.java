package org.carobdoor.message;

import java.util.List;

/** Informs other nodes of quarantined patterns that they may not know yet. */
public record QuarantineNotice(List<QuarantineEntry> entries) implements QuarantineMessage {

    /** Copies the list. */
    public QuarantineNotice {
        entries = List.copyOf(entries);
    }
}
