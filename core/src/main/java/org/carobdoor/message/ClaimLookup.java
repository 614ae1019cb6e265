package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Asks the owner of a claim log what is recorded for a key, without claiming it.
 *
 * @param log the number of the claim log
 * @param keyHash as in the {@link ClaimRequest}
 */
public record ClaimLookup(int log, Bytes keyHash) implements ClaimMessage {}
