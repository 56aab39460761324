import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: a line for each thing that was sent, answered or run, with the time since the start. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final BufferedWriter writer;

    Record(Path file) throws IOException {
        writer = Files.newBufferedWriter(file);
    }

    /** Milliseconds since the start of the run. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void add(String line) {
        try {
            writer.write(String.format("%7d ms  %s%n", now(), line));
        } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
    }

    /** Adds [line] and prints it. */
    void conclude(String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() throws IOException {
        writer.close();
    }
}
