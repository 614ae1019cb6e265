package org.carobdoor.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import okhttp3.HttpUrl;
import org.jspecify.annotations.Nullable;
import org.slf4j.LoggerFactory;

/**
 * The command-line tool for operators.
 *
 * <p>Exit codes: 0 success, 1 request rejected or input invalid, 2 usage error, 3 conflict with
 * another edit, 4 node not reachable.
 *
 * <pre>{@code
 * carobdoor entry show bids --node http://10.0.0.5:8080 > bids.toml
 * carobdoor entry edit bids.toml --node http://10.0.0.5:8080
 * }</pre>
 */
public final class CarobdoorCommand {
    private final CommonOptions common = new CommonOptions();
    private final JCommander commander;
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;

    private CarobdoorCommand(Map<String, String> environment, PrintStream out, PrintStream err) {
        this.environment = environment;
        this.out = out;
        this.err = err;
        commander =
                JCommander.newBuilder()
                        .programName("carobdoor")
                        .addObject(new OptionGroup(common))
                        .addCommand("entry", new EntryGroup(common))
                        .addCommand("validate", new Validate(common))
                        .addCommand("status", new NodeCommands.Status(common))
                        .addCommand("endpoints", new NodeCommands.Endpoints(common))
                        .addCommand("drain", new NodeCommands.Drain(common))
                        .addCommand("burn", new Burn(common))
                        .build();
        JCommander entry = commander.getCommands().get("entry");
        if (entry != null) {
            entry.addCommand("create", new EntryCommands.Create(common));
            entry.addCommand("edit", new EntryCommands.Edit(common));
            entry.addCommand("show", new EntryCommands.Show(common));
            entry.addCommand("diff", new EntryCommands.Diff(common));
            entry.addCommand("list", new EntryCommands.ListAll(common));
            entry.addCommand("history", new EntryCommands.History(common));
            entry.addCommand("remove", new EntryCommands.Remove(common));
        }
    }

    /** Options between {@code entry} and its subcommand. */
    @Parameters(commandDescription = "Read and change the catalogue")
    private static final class EntryGroup extends OptionGroup {
        EntryGroup(CommonOptions common) {
            super(common);
        }
    }

    /** Runs the command and exits. */
    public static void main(String[] args) {
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        System.exit(run(System.getenv(), System.out, System.err, args));
    }

    /** Runs the command and returns its exit code. */
    static int run(
            Map<String, String> environment, PrintStream out, PrintStream err, String... args) {
        return new CarobdoorCommand(environment, out, err).execute(args).status();
    }

    private ExitCode execute(String... args) {
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            return usageError(String.valueOf(e.getMessage()));
        }
        JCommander selected = parsedCommand(commander);
        if (common.help()) {
            var usage = new StringBuilder();
            selected.getUsageFormatter().usage(usage);
            out.print(usage);
            return ExitCode.OK;
        }
        Object object = selected.getObjects().getFirst();
        if (!(object instanceof Command command)) {
            return usageError("a subcommand is missing; see carobdoor --help");
        }
        if (!common.hasValidOutput()) {
            return usageError("--output must be table or json");
        }
        @Nullable HttpUrl node = HttpUrl.parse(common.node(environment));
        if (node == null) {
            return usageError("--node must be an HTTP URL, got " + common.node(environment));
        }
        Duration timeout = Duration.ofSeconds(Math.max(1, common.timeoutSeconds()));
        try (var client =
                new AdminClient(node, common.key(environment), common.operator(), timeout)) {
            return command.run(new Session(client, common.json(), out, err));
        }
    }

    private ExitCode usageError(String message) {
        err.println("carobdoor: " + message + "; see docs/TROUBLESHOOTING.md#usage");
        return ExitCode.USAGE;
    }

    private static JCommander parsedCommand(JCommander start) {
        JCommander current = start;
        while (current.getParsedCommand() != null) {
            JCommander next = current.getCommands().get(current.getParsedCommand());
            if (next == null) {
                return current;
            }
            current = next;
        }
        return current;
    }
}
