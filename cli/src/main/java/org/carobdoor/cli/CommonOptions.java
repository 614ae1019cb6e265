package org.carobdoor.cli;

import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.Map;

/** The options shared by all subcommands. */
final class CommonOptions {
    static final String KEY_VARIABLE = "CAROBDOOR_KEY";
    static final String NODE_VARIABLE = "CAROBDOOR_NODE";
    private static final String DEFAULT_NODE = "http://127.0.0.1:8080";

    @Parameter(
            names = "--node",
            description = "URL of any node (or " + NODE_VARIABLE + ", else " + DEFAULT_NODE + ")")
    private String node = "";

    @Parameter(names = "--key", description = "Operator key (or " + KEY_VARIABLE + ")")
    private String key = "";

    @Parameter(names = "--operator", description = "Who makes a change, for the history")
    private String operator = System.getProperty("user.name", "unknown");

    @Parameter(names = "--output", description = "table or json")
    private String output = "table";

    @Parameter(names = "--timeout-seconds", description = "How long to wait for the node")
    private int timeoutSeconds = 10;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    String node(Map<String, String> environment) {
        return node.isEmpty() ? environment.getOrDefault(NODE_VARIABLE, DEFAULT_NODE) : node;
    }

    String key(Map<String, String> environment) {
        return key.isEmpty() ? environment.getOrDefault(KEY_VARIABLE, "") : key;
    }

    String operator() {
        return operator;
    }

    boolean json() {
        return output.equals("json");
    }

    boolean hasValidOutput() {
        return List.of("table", "json").contains(output);
    }

    int timeoutSeconds() {
        return timeoutSeconds;
    }

    boolean help() {
        return help;
    }
}
