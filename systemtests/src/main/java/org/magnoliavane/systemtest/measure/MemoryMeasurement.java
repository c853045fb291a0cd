package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.magnoliavane.systemtest.ManagedProcess;

/**
 * Measures the heap and the resident memory of a node as a function of the number of open streams. The heap is the
 * least value after a garbage collection in the log of the collector, because a node has no gauge of its heap.
 */
final class MemoryMeasurement {
    /** More tokens than a stream receives during the measurement, so that no stream ends. */
    private static final int TOKENS_PER_STREAM = 1000;

    private static final long COLLECTION_TIMEOUT_MILLIS = 20_000;
    private static final double KILOBYTES_PER_MEGABYTE = 1024;

    private final RequestSender sender;
    private final Report report;
    private final List<TimedStream> openStreams = new ArrayList<>();

    MemoryMeasurement(RequestSender sender, Report report) {
        this.sender = sender;
        this.report = report;
    }

    void measure(int[] counts) {
        report.beginSection("memory");
        String node = sender.getNonCoordinator();
        ManagedProcess process = sender.getDeployment().getProcess(node);
        warmUp(node);
        List<double[]> inputs = new ArrayList<>();
        List<Double> heaps = new ArrayList<>();
        List<Double> residents = new ArrayList<>();
        for (int count : counts) {
            openStreams(node, count);
            long lines = ProcessMetrics.countOutputLines(process);
            double heap = awaitHeapAfterCollection(node, process, lines);
            double resident = ProcessMetrics.getResidentMegabytes(process);
            inputs.add(new double[] {1, count});
            heaps.add(heap);
            residents.add(resident);
            long receiving = openStreams.stream()
                    .filter(s -> s.getReceivedTokenCount() > 0)
                    .count();
            report.add(count + " streams asked for: streams that get tokens", receiving, "streams");
            report.add(count + " streams: heap after a collection", heap, "MB");
            report.add(count + " streams: resident memory", resident, "MB");
        }
        openStreams.forEach(TimedStream::close);
        double[] heap = LeastSquares.fit(inputs, heaps);
        double[] resident = LeastSquares.fit(inputs, residents);
        report.add("heap without streams (fit)", heap[0], "MB");
        report.add("heap for each stream (fit)", KILOBYTES_PER_MEGABYTE * heap[1], "KB");
        report.add("resident memory without streams (fit)", resident[0], "MB");
        report.add("resident memory for each stream (fit)", KILOBYTES_PER_MEGABYTE * resident[1], "KB");
    }

    /** Opens and closes streams, so that the code and buffer pools of the node are in memory before the first value. */
    private void warmUp(String node) {
        openStreams(node, 60);
        openStreams.forEach(TimedStream::close);
        openStreams.clear();
        Waits.sleep(1500);
    }

    private void openStreams(String node, int count) {
        while (openStreams.size() < count) {
            openStreams.add(sender.sendChat(node, TOKENS_PER_STREAM, TimedStream.Times.create()));
            Waits.sleep(10);
        }
        Waits.awaitCondition(10_000, () -> openStreams.stream().allMatch(s -> s.getReceivedTokenCount() > 0));
    }

    /**
     * Sends lookups, which make the node allocate, until its log shows a collection, and returns the least heap in MB.
     * Returns NaN when there is none in time.
     */
    private double awaitHeapAfterCollection(String node, ManagedProcess process, long lines) {
        long end = System.nanoTime() + COLLECTION_TIMEOUT_MILLIS * 1_000_000;
        org.HdrHistogram.Histogram ignored = TimedStream.Times.newHistogram();
        while (System.nanoTime() < end) {
            OpenLoopLoad.run(150, 1, () -> OverheadMeasurement.toUnits(sender.sendLookup(node, ignored)));
            OptionalLong heap = ProcessMetrics.findMinHeapMegabytes(process, lines);
            if (heap.isPresent()) {
                return heap.getAsLong();
            }
        }
        return Double.NaN;
    }
}
