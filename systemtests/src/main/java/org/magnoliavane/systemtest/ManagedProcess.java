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
 * Controls a child process, whose output is appended to a file.
 *
 * <p>Thread-safe.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final String name;
    private final Process process;
    private final Path output;
    private final int skippedLines;

    private ManagedProcess(String name, Process process, Path output, int skippedLines) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.skippedLines = skippedLines;
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
        int skippedLines = Files.exists(output) ? readLines(output).size() : 0;
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
        return new ManagedProcess(name, process, output, skippedLines);
    }

    /**
     * Waits until the process has printed a line. Lines that an earlier process wrote to
     * the same output file are ignored.
     *
     * @param prefix the prefix of the line
     * @param timeoutMillis the longest time to wait, in milliseconds
     * @return the rest of the line after the prefix
     * @throws IllegalStateException when the process ends or the time passes without the line
     */
    public String awaitLine(String prefix, long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadline) {
            Optional<String> line = findLine(prefix);
            if (line.isPresent()) {
                return line.get();
            }
            if (!process.isAlive()) {
                throw new IllegalStateException(
                        name + " ended with exit status " + process.exitValue() + "; see " + output);
            }
            sleep(POLL_INTERVAL_MILLIS);
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
     * Gets the file to which the output of the process is written.
     *
     * @return the file
     */
    public Path getOutputFile() {
        return output;
    }

    /**
     * Returns whether the process runs.
     *
     * @return true while it runs or is paused
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Reads the lines that the process has printed so far.
     *
     * @return the lines
     */
    public List<String> getOutputLines() {
        try {
            return readLines(output).stream().skip(skippedLines).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process (SIGKILL) and waits up to 5 s for its end. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(5_000);
    }

    /** Requests the end of the process (SIGTERM) without waiting for it. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeoutMillis the longest time to wait, in milliseconds
     * @return the exit status, or empty when the process still runs
     */
    public Optional<Integer> awaitExit(long timeoutMillis) {
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
        sendSignal("-STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() {
        sendSignal("-CONT");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    @Override
    public String toString() {
        return name + " (process " + process.pid() + ")";
    }

    private void sendSignal(String signal) {
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
        return getOutputLines().stream()
                .filter(l -> l.startsWith(prefix))
                .map(l -> l.substring(prefix.length()))
                .findFirst();
    }

    /**
     * Reads the lines in ISO 8859-1, which also accepts a UTF-8 character that was cut off when a process was killed.
     */
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
