package org.magnoliavane.systemtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Controls a child process by its id. Its output goes to a file.
 *
 * <p>Thread-safe.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final long POLL_MILLIS = 20;

    private final String name;
    private final Process process;
    private final Path output;
    private final int earlierLines;

    private ManagedProcess(String name, Process process, Path output, int earlierLines) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.earlierLines = earlierLines;
    }

    /**
     * Starts a process.
     *
     * @param name the name of the process, used for its output file
     * @param command the program and its arguments
     * @param directory the directory of the output file
     * @return the process
     * @throws IOException when it cannot be started
     */
    public static ManagedProcess start(String name, List<String> command, Path directory) throws IOException {
        Path output = directory.resolve(name + ".log");
        int earlierLines = Files.exists(output) ? readLines(output).size() : 0;
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
        return new ManagedProcess(name, process, output, earlierLines);
    }

    /**
     * Waits until the process has printed a line. Lines of an earlier process with the same output file do not count.
     *
     * @param prefix the beginning of the line
     * @param timeoutMillis the time to wait
     * @return the line without the prefix
     */
    public String awaitLine(String prefix, long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadline) {
            Optional<String> line = findLine(prefix);
            if (line.isPresent()) {
                return line.get();
            }
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " ended with status " + process.exitValue() + "; see " + output);
            }
            sleep(POLL_MILLIS);
        }
        throw new IllegalStateException(name + " did not print '" + prefix + "' in time; see " + output);
    }

    /**
     * Gets the process id.
     *
     * @return the id
     */
    public long getPid() {
        return process.pid();
    }

    /**
     * Gets the file that has the output of the process.
     *
     * @return the file
     */
    public Path getOutputFile() {
        return output;
    }

    /**
     * Says whether the process runs.
     *
     * @return true while it runs, also while it is paused
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Reads what the process has printed so far.
     *
     * @return the lines
     */
    public List<String> getOutput() {
        try {
            return readLines(output).stream().skip(earlierLines).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process without warning. */
    public void kill() {
        process.destroyForcibly();
        awaitEnd(5_000);
    }

    /** Asks the process to end and returns at once. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeoutMillis the time to wait
     * @return the exit status, or empty when it still runs
     */
    public Optional<Integer> awaitEnd(long timeoutMillis) {
        try {
            return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)
                    ? Optional.of(process.exitValue())
                    : Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Pauses the process (SIGSTOP). */
    public void pause() {
        signal("-STOP");
    }

    /** Lets a paused process run again (SIGCONT). */
    public void resume() {
        signal("-CONT");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    @Override
    public String toString() {
        return name + " (process " + process.pid() + ")";
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<String> findLine(String prefix) {
        return getOutput().stream()
                .filter(l -> l.startsWith(prefix))
                .map(l -> l.substring(prefix.length()))
                .findFirst();
    }

    /** Reads the lines also when a character was cut off by the end of a process. */
    private static List<String> readLines(Path file) throws IOException {
        return Files.readString(file, StandardCharsets.ISO_8859_1).lines().toList();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
