package org.carobdoor;

/**
 * A value of the platform's key-value service together with its versions.
 *
 * @param key the key
 * @param version number of writes of this key, 1 after the first
 * @param revision the service-wide revision of the last write of this key, for watches
 * @param value the value
 */
public record VersionedValue(String key, long version, long revision, Bytes value) {}
