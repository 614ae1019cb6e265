package org.carobdoor.clients.cloud;

/**
 * The weights of one version of a model in the weight store.
 *
 * @param model the name of the model
 * @param version the version of the model
 * @param bytes the size of the weights
 * @param digest a digest of the weights
 */
public record WeightSet(String model, String version, long bytes, String digest) {}
