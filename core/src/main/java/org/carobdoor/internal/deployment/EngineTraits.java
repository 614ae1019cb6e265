package org.carobdoor.internal.deployment;

/**
 * What the model engines of a service can do.
 *
 * @param slots requests that one engine runs at once
 * @param memoryTokens the tokens that the KV cache of one engine holds
 * @param bytesPerToken the size of one cached token
 * @param movesRuns whether an engine copies a running request to another engine on request
 * @param backsUpRuns whether an engine copies a running request to another engine as it grows
 */
public record EngineTraits(
        int slots, long memoryTokens, long bytesPerToken, boolean movesRuns, boolean backsUpRuns) {}
