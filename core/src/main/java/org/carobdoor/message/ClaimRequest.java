package org.carobdoor.message;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * Requests a claim of a key from the owner of its claim log.
 *
 * @param log the number of the claim log
 * @param keyHash the first 16 bytes of the SHA-256 of account, entry and idempotency key
 * @param token 16 random bytes known only to the requesting node; the same for all retries
 * @param rememberUntil time until which the key must be remembered
 * @param deadline when the caller stops waiting
 */
public record ClaimRequest(
        int log, Bytes keyHash, Bytes token, Instant rememberUntil, Instant deadline)
        implements ClaimMessage {}
