package org.carobdoor.clients.catalogue;

/**
 * A problem in the text of an entry.
 *
 * @param key the key, qualified by its table, or {@code "entry"} for the whole text
 * @param problem what is wrong and what is allowed
 * @param anchor the section of the troubleshooting page
 */
public record EntryProblem(String key, String problem, String anchor) {
    private static final String PAGE = "docs/TROUBLESHOOTING.md#";

    @Override
    public String toString() {
        return key + ": " + problem + "; see " + PAGE + anchor;
    }
}
