package org.carobdoor.internal.catalogue;

/** What an entry of the catalogue serves. */
public enum EntryKind {
    /** A language model, served by model engines. */
    MODEL,
    /** A plain service, reached by path prefix. */
    SERVICE
}
