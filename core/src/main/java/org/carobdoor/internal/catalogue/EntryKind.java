package org.carobdoor.internal.catalogue;

/** The kind of backend that a catalogue entry is served by. */
public enum EntryKind {
    /** A language model, served by model engines. */
    MODEL,
    /** A plain service, reached by path prefix. */
    SERVICE
}
