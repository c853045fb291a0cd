import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String format, Object... arguments) {
        out.println(String.format(Locale.ROOT, "%8.3f ", seconds())
                + String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public void close() {
        out.close();
    }
}
