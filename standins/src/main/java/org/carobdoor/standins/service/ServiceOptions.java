package org.carobdoor.standins.service;

import com.beust.jcommander.Parameter;

/** The settings of a {@link ServiceStandIn}, which are also its command-line options. */
public final class ServiceOptions {
    @Parameter(names = "--port", description = "Port on 127.0.0.1; 0 selects a free port")
    private int port;

    @Parameter(names = "--id", description = "Identifier in responses")
    private String id = "service";

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private ServiceOptions() {}

    /** Returns the default settings, with a free port. */
    public static ServiceOptions defaults() {
        return new ServiceOptions();
    }

    /** Sets the port; 0 selects a free port. */
    public ServiceOptions port(int value) {
        port = value;
        return this;
    }

    /** Sets the identifier in responses. */
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

    /** Returns whether the usage text was requested. */
    public boolean help() {
        return help;
    }
}
