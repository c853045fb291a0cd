package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.magnoliavane.systemtest.ManagedProcess;

/** Reads the CPU time and the memory of a process. */
final class ProcessMetrics {
    /**
     * Matches lines of the log of the garbage collector, such as {@code Pause Young (Allocation Failure) 14M->4M(120M)
     * 1.2ms}.
     */
    private static final Pattern GC_PAUSE = Pattern.compile("Pause .* \\d+M->(\\d+)M\\(");

    private ProcessMetrics() {}

    /** Gets the CPU time so far, in seconds. The kernel counts it in steps of 10 ms. */
    static double getCpuSeconds(ManagedProcess process) {
        return ProcessHandle.of(process.getPid())
                .flatMap(handle -> handle.info().totalCpuDuration())
                .map(duration -> duration.toNanos() / 1e9)
                .orElseThrow(() -> new IllegalStateException(process + " has ended; see " + process.getOutputFile()));
    }

    /** Gets the resident memory, in MB of 2^20 bytes. */
    static double getResidentMegabytes(ManagedProcess process) {
        Path status = Path.of("/proc", Long.toString(process.getPid()), "status");
        return readLines(status)
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElseThrow()
                / 1024.0;
    }

    /**
     * Finds the least heap after a collection in the output, in MB, after the given number of lines; empty without one.
     */
    static OptionalLong findMinHeapMegabytes(ManagedProcess process, long skippedLines) {
        return readLines(process.getOutputFile())
                .skip(skippedLines)
                .map(GC_PAUSE::matcher)
                .filter(Matcher::find)
                .mapToLong(m -> Long.parseLong(m.group(1)))
                .min();
    }

    static long countOutputLines(ManagedProcess process) {
        return readLines(process.getOutputFile()).count();
    }

    private static java.util.stream.Stream<String> readLines(Path file) {
        try {
            return Files.readAllLines(file).stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
