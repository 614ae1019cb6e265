package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process started by this program. {@link #close} kills it if it is still running.
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

    /** Starts {@code command}, appending its standard output and error to {@code log}. */
    public static ChildProcess start(String name, List<String> command, Path log)
            throws IOException {
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        return new ChildProcess(name, process, log);
    }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    /** Returns whether the process has not exited; a paused process counts as alive. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process (SIGKILL). */
    public void kill() {
        process.destroyForcibly();
        await(KILL_TIMEOUT);
    }

    /** Requests a graceful shutdown (SIGTERM) and returns without waiting. */
    public void terminate() {
        process.destroy();
    }

    /** Waits for the process to exit; returns false on a timeout or an interrupt. */
    public boolean await(Duration timeout) {
        try {
            return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the exit status of a process that has exited. */
    public int exitStatus() {
        return process.exitValue();
    }

    /** Suspends the process (SIGSTOP) until {@link #resume}. */
    public void pause() throws IOException {
        signal("STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() throws IOException {
        signal("CONT");
    }

    /** Requests a reload of the settings (SIGHUP). */
    public void reload() throws IOException {
        signal("HUP");
    }

    /** Returns the contents of the log file. */
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
