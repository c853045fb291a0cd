package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.magnoliavane.systemtest.ManagedProcess;

/**
 * Measures the heap and the resident memory of a node against the number of streams that it holds open. The heap is the
 * least value after a collection in the collector's log, because a node has no gauge of its heap.
 */
final class Memory {
    /** More tokens than the streams get while they are measured. */
    private static final int TOKENS = 1000;

    private static final long COLLECTION_MILLIS = 20_000;
    private static final double KILOBYTES = 1024;

    private final Calls calls;
    private final Report report;
    private final List<TimedStream> open = new ArrayList<>();

    Memory(Calls calls, Report report) {
        this.calls = calls;
        this.report = report;
    }

    void measure(int[] counts) {
        report.begin("memory");
        String node = calls.getOtherNode();
        ManagedProcess process = calls.deployment().getProcess(node);
        warmUp(node);
        List<double[]> inputs = new ArrayList<>();
        List<Double> heaps = new ArrayList<>();
        List<Double> residents = new ArrayList<>();
        for (int count : counts) {
            openUntil(node, count);
            long lines = ProcessFigures.countLines(process);
            double heap = awaitHeap(node, process, lines);
            double resident = ProcessFigures.getResidentMegabytes(process);
            inputs.add(new double[] {1, count});
            heaps.add(heap);
            residents.add(resident);
            long flowing = open.stream().filter(s -> s.countTokens() > 0).count();
            report.add(count + " streams asked for: streams that get tokens", flowing, "streams");
            report.add(count + " streams: heap after a collection", heap, "MB");
            report.add(count + " streams: resident memory", resident, "MB");
        }
        open.forEach(TimedStream::close);
        double[] heap = LeastSquares.fit(inputs, heaps);
        double[] resident = LeastSquares.fit(inputs, residents);
        report.add("heap without streams (fit)", heap[0], "MB");
        report.add("heap for each stream (fit)", KILOBYTES * heap[1], "KB");
        report.add("resident memory without streams (fit)", resident[0], "MB");
        report.add("resident memory for each stream (fit)", KILOBYTES * resident[1], "KB");
    }

    /** Opens and closes streams, so that code and pools of the node are in memory before the first value. */
    private void warmUp(String node) {
        openUntil(node, 60);
        open.forEach(TimedStream::close);
        open.clear();
        Waiting.sleep(1500);
    }

    private void openUntil(String node, int count) {
        while (open.size() < count) {
            open.add(calls.chat(node, TOKENS, TimedStream.Times.create()));
            Waiting.sleep(10);
        }
        Waiting.until(10_000, () -> open.stream().allMatch(s -> s.countTokens() > 0));
    }

    /** Makes the node allocate with lookups until it collects twice, so that the heap holds little but what is in use. */
    private double awaitHeap(String node, ManagedProcess process, long lines) {
        long end = System.nanoTime() + COLLECTION_MILLIS * 1_000_000;
        org.HdrHistogram.Histogram ignored = TimedStream.Times.newHistogram();
        while (System.nanoTime() < end) {
            OpenLoop.run(150, 1, () -> Overhead.toCount(calls.lookUp(node, ignored)));
            OptionalLong heap = ProcessFigures.findHeapMegabytes(process, lines);
            if (heap.isPresent()) {
                return heap.getAsLong();
            }
        }
        return Double.NaN;
    }
}
