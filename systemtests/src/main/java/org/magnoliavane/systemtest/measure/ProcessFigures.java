package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.magnoliavane.systemtest.ManagedProcess;

/** Reads processor time and memory of a process. */
final class ProcessFigures {
    /** Lines of the collector's log, such as {@code Pause Young (Allocation Failure) 14M->4M(120M) 1.2ms}. */
    private static final Pattern HEAP = Pattern.compile("Pause .* \\d+M->(\\d+)M\\(");

    private ProcessFigures() {}

    /** Gets the processor time so far, in seconds; the kernel counts it in steps of 10 ms. */
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

    /** Gets the least heap after a collection in the output beyond a number of lines, in MB. */
    static OptionalLong findHeapMegabytes(ManagedProcess process, long skippedLines) {
        return readLines(process.getOutputFile())
                .skip(skippedLines)
                .map(HEAP::matcher)
                .filter(Matcher::find)
                .mapToLong(m -> Long.parseLong(m.group(1)))
                .min();
    }

    static long countLines(ManagedProcess process) {
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
