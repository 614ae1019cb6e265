package org.carobdoor.clients.cloud;

/**
 * The weights of one version of a model in the weight store.
 *
 * @param model the model
 * @param version its version
 * @param bytes their size
 * @param digest identifies their contents
 */
public record WeightSet(String model, String version, long bytes, String digest) {}
