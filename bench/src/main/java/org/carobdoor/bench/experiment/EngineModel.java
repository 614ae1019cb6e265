package org.carobdoor.bench.experiment;

/**
 * The timing of a fake engine. A step generates one token for each decoding sequence and processes
 * some prompt tokens.
 *
 * @param stepMillis the fixed time of a step
 * @param sequenceMillis the time that each decoding sequence adds to a step
 * @param promptTokenMillis the time that each prompt token adds to a step
 * @param promptTokensPerStep the most prompt tokens of a step
 * @param maxBatch the most sequences in a step
 * @param cacheBlocks blocks of {@link Workload#BLOCK_TOKENS} tokens in the prefix cache
 * @param exportTokensPerSecond the speed of KV cache export
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
