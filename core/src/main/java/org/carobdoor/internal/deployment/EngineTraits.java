package org.carobdoor.internal.deployment;

/**
 * The capabilities of the model engines of a service.
 *
 * @param slots the number of requests that one engine runs concurrently
 * @param kvCacheTokens the number of tokens that the KV cache of one engine holds
 * @param bytesPerToken the size of one cached token in bytes
 * @param movesRuns whether an engine can copy a running request to another engine on request
 * @param backsUpRuns whether an engine continuously copies a running request to another engine as
 *     it grows
 */
public record EngineTraits(
        int slots,
        long kvCacheTokens,
        long bytesPerToken,
        boolean movesRuns,
        boolean backsUpRuns) {}
