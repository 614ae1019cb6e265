package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Reports the outcome of a claimed call to the owner of its claim log.
 *
 * @param log the number of the claim log
 * @param keyHash as in the {@link ClaimRequest}
 * @param token the token that holds the claim
 * @param status the HTTP status of the answer, or 0 to release a claim whose call was never sent
 */
public record ClaimUpdate(int log, Bytes keyHash, Bytes token, int status)
        implements ClaimMessage {}
