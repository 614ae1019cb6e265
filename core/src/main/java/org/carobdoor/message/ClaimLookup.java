package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Requests the recorded claim state of a key from the owner of its claim log, without claiming the
 * key.
 *
 * @param log the number of the claim log
 * @param keyHash as in the {@link ClaimRequest}
 */
public record ClaimLookup(int log, Bytes keyHash) implements ClaimMessage {}
