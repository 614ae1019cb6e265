package org.carobdoor.node.settings;

/**
 * The log settings of the daemon.
 *
 * @param json whether each log line is a JSON object
 * @param level the minimum log level
 */
public record LogSettings(boolean json, String level) {}
