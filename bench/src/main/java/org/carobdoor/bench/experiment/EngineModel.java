package org.carobdoor.bench.experiment;

/**
 * The timing model of a {@link FakeEngine}. A step generates one token per decoding sequence and
 * processes a limited number of prompt tokens.
 *
 * @param stepMillis the fixed time of a step
 * @param sequenceMillis the time that each decoding sequence adds to a step
 * @param promptTokenMillis the time that each prompt token adds to a step
 * @param promptTokensPerStep the maximum number of prompt tokens per step
 * @param maxBatch the maximum number of sequences per step
 * @param cacheBlocks the capacity of the prefix cache, in blocks of {@link Workload#BLOCK_TOKENS}
 *     tokens
 * @param exportTokensPerSecond the throughput of a KV cache export
 * @param exportMillis the fixed time of an export
 */
record EngineModel(
        double stepMillis,
        double sequenceMillis,
        double promptTokenMillis,
        int promptTokensPerStep,
        int maxBatch,
        int cacheBlocks,
        double exportTokensPerSecond,
        double exportMillis) {

    static EngineModel defaults() {
        return new EngineModel(20, 0.8, 0.08, 512, 48, 600, 10_000, 20);
    }
}
