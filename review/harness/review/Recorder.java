package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes {@code record.txt}: what was sent, answered and run, with the time since the start. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the milliseconds since the start of the recording. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000L;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        out.printf(Locale.ROOT, "%7d ms  %s%n", millis(), text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
