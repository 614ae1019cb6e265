package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One process that this program started. Closing it kills it.
 *
 * <pre>{@code
 * try (ChildProcess p = ChildProcess.start("node-a1", command, logFile)) {
 *     p.pause();
 * }
 * }</pre>
 */
public final class ChildProcess implements AutoCloseable {
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(5);

    private final String name;
    private final Process process;
    private final Path log;

    private ChildProcess(String name, Process process, Path log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    /** Starts {@code command}; its output goes to {@code log}. */
    public static ChildProcess start(String name, List<String> command, Path log)
            throws IOException {
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        return new ChildProcess(name, process, log);
    }

    /** Returns the name given at the start. */
    public String name() {
        return name;
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns whether the process runs or is paused. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process without warning (SIGKILL). */
    public void kill() {
        process.destroyForcibly();
        await(KILL_TIMEOUT);
    }

    /** Asks the process to stop gracefully (SIGTERM). */
    public void terminate() {
        process.destroy();
    }

    /** Waits for the end of the process; returns whether it ended in time. */
    public boolean await(Duration timeout) {
        try {
            return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the exit status of an ended process. */
    public int exitStatus() {
        return process.exitValue();
    }

    /** Stops the process from running (SIGSTOP) until {@link #resume}. */
    public void pause() throws IOException {
        signal("STOP");
    }

    /** Lets a paused process run again (SIGCONT). */
    public void resume() throws IOException {
        signal("CONT");
    }

    /** Returns what the process has written so far. */
    public String output() throws IOException {
        return Files.readString(log);
    }

    private void signal(String signal) throws IOException {
        Process kill =
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        try {
            kill.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            kill();
        }
    }
}
