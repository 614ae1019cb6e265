package org.carobdoor.node.settings;

/**
 * How the daemon logs.
 *
 * @param json whether a line is a JSON object
 * @param level the lowest level that is written
 */
public record LogSettings(boolean json, String level) {}
