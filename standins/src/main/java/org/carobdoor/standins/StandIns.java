package org.carobdoor.standins;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.concurrent.CountDownLatch;
import org.carobdoor.standins.engine.EngineOptions;
import org.carobdoor.standins.engine.EngineStandIn;
import org.carobdoor.standins.platform.PlatformOptions;
import org.carobdoor.standins.platform.PlatformStandIn;
import org.carobdoor.standins.service.ServiceOptions;
import org.carobdoor.standins.service.ServiceStandIn;
import org.slf4j.LoggerFactory;

/**
 * The command that runs a single stand-in until its process is stopped.
 *
 * <pre>{@code
 * standins platform --port 7000
 * standins engine --port 7101 --id e1 --token-millis 5 --max-concurrent 32
 * standins service --port 7201 --id bids
 * }</pre>
 */
public final class StandIns {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private StandIns() {}

    /** Runs the command, and blocks while a stand-in is running. */
    public static void main(String[] args) throws InterruptedException {
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        int exitStatus = run(args);
        if (exitStatus >= 0) {
            System.exit(exitStatus);
        }
        new CountDownLatch(1).await();
    }

    /** Starts a stand-in. Returns -1 if it is running, or else the exit status. */
    static int run(String... args) {
        var platform = PlatformOptions.defaults();
        var engine = EngineOptions.defaults();
        var service = ServiceOptions.defaults();
        JCommander commander =
                JCommander.newBuilder()
                        .programName("standins")
                        .addCommand("platform", platform)
                        .addCommand("engine", engine)
                        .addCommand("service", service)
                        .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("standins: " + e.getMessage());
            return EXIT_USAGE;
        }
        String command = commander.getParsedCommand();
        if (command == null || platform.help() || engine.help() || service.help()) {
            commander.usage();
            return command == null ? EXIT_USAGE : 0;
        }
        try {
            System.out.println(
                    command + " listens on " + start(command, platform, engine, service));
        } catch (IllegalStateException e) {
            System.err.println("standins: " + e.getMessage());
            return EXIT_FAILURE;
        }
        return -1;
    }

    private static String start(
            String command,
            PlatformOptions platform,
            EngineOptions engine,
            ServiceOptions service) {
        return switch (command) {
            case "engine" -> EngineStandIn.start(engine).url();
            case "service" -> ServiceStandIn.start(service).url();
            default -> startPlatform(platform).url();
        };
    }

    private static PlatformStandIn startPlatform(PlatformOptions options) {
        if (!options.startEngines()) {
            return PlatformStandIn.start(options);
        }
        return PlatformStandIn.start(
                options,
                vm -> EngineStandIn.start(EngineOptions.defaults().id(vm.id())).hostAndPort());
    }
}
