package org.carobdoor.standins.service;

import com.beust.jcommander.Parameter;

/** The settings of a plain-service stand-in, also its command-line options. */
public final class ServiceOptions {
    @Parameter(names = "--port", description = "Port on 127.0.0.1, 0 for any free one")
    private int port;

    @Parameter(names = "--id", description = "Identifier in answers")
    private String id = "service";

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private ServiceOptions() {}

    /** Returns the defaults: any free port. */
    public static ServiceOptions defaults() {
        return new ServiceOptions();
    }

    /** Sets the port; returns this object. */
    public ServiceOptions port(int value) {
        port = value;
        return this;
    }

    /** Sets the identifier; returns this object. */
    public ServiceOptions id(String value) {
        id = value;
        return this;
    }

    int port() {
        return port;
    }

    String id() {
        return id;
    }

    /** Returns whether help was asked for. */
    public boolean help() {
        return help;
    }
}
