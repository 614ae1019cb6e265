package org.carobdoor.node;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.node.logging.LogSetup;
import org.carobdoor.node.settings.NodeSettings;
import org.carobdoor.node.settings.SettingsLoader;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The main class of the daemon, which runs as a node or, with {@code --gateway}, as a gateway.
 *
 * <pre>
 * carobdoord --settings node.toml
 * carobdoord --settings node.toml --check
 * carobdoord --gateway --settings node.toml
 * </pre>
 */
public final class Carobdoord {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    /**
     * The environment variable with the path of the settings file, used without {@code --settings}.
     */
    static final String SETTINGS_VARIABLE = "CAROBDOOR_SETTINGS";

    private Carobdoord() {}

    /**
     * Runs the daemon until it receives a termination signal; exits with 0 after a graceful
     * shutdown.
     */
    public static void main(String[] args) throws InterruptedException {
        if (Arrays.asList(args).contains(DaemonOptions.GATEWAY)) {
            // The platform may announce changed settings at any time. Before its handler is
            // installed, this signal would terminate the process.
            Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN);
        }
        DaemonOptions options = new DaemonOptions();
        JCommander commander =
                JCommander.newBuilder().programName("carobdoord").addObject(options).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("carobdoord: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (options.help) {
            commander.usage();
            return;
        }
        if (options.settings.isBlank()) {
            System.err.println(
                    "carobdoord: --settings is required unless " + SETTINGS_VARIABLE + " is set");
            System.exit(EXIT_USAGE);
        }
        if (options.gateway) {
            GatewayDaemon.run(Path.of(options.settings), options.check);
            return;
        }
        switch (SettingsLoader.load(Path.of(options.settings))) {
            case Result.Err<NodeSettings>(Failure failure) -> {
                System.err.println(failure.detail());
                System.exit(EXIT_FAILURE);
            }
            case Result.Ok<NodeSettings>(NodeSettings settings) -> {
                if (options.check) {
                    System.out.println(options.settings + ": ok");
                    return;
                }
                run(settings);
            }
        }
    }

    private static void run(NodeSettings settings) throws InterruptedException {
        LogSetup.apply(settings.log());
        switch (Node.start(settings)) {
            case Result.Err<Node>(Failure failure) -> {
                System.err.println("carobdoord: " + failure);
                System.err.println("see docs/TROUBLESHOOTING.md#start");
                System.exit(EXIT_FAILURE);
            }
            case Result.Ok<Node>(Node node) -> {
                CountDownLatch stopped = new CountDownLatch(1);
                Thread stopThread =
                        new Thread(
                                () -> {
                                    node.stopGracefully();
                                    node.close();
                                    stopped.countDown();
                                },
                                "stop");
                Runtime.getRuntime().addShutdownHook(stopThread);
                stopped.await();
            }
        }
    }
}
