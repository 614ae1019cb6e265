package org.carobdoor.message;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * Asks the owner of a claim log to claim a key for a request.
 *
 * @param log the number of the claim log
 * @param keyHash the first 16 bytes of the SHA-256 of account, entry and idempotency key
 * @param token 16 random bytes that only the requesting node knows; the same for every repetition
 * @param rememberUntil until when the key must be remembered
 * @param deadline when the caller stops waiting
 */
public record ClaimRequest(
        int log, Bytes keyHash, Bytes token, Instant rememberUntil, Instant deadline)
        implements ClaimMessage {}
