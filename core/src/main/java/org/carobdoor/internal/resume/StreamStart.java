package org.carobdoor.internal.resume;

/**
 * The version that a stream was sent to, which alone may continue it.
 *
 * @param service the service of the stream
 * @param version the software version of the endpoint
 */
public record StreamStart(String service, String version) {}
