package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.HdrHistogram.Histogram;
import org.magnoliavane.systemtest.ManagedProcess;

/**
 * Measures the CPU time of a node per request and per relayed token, and that of the coordinator per placement. Each
 * fit has the CPU time of an idle node as a further coefficient.
 */
final class ThroughputMeasurement {
    private static final double MICROS_PER_SECOND = 1e6;

    private final RequestSender sender;
    private final Report report;
    private final double scale;

    ThroughputMeasurement(RequestSender sender, Report report, double scale) {
        this.sender = sender;
        this.report = report;
        this.scale = scale;
    }

    void measure() {
        report.beginSection("throughput");
        measureChats();
        String node = sender.getNonCoordinator();
        Histogram ignored = TimedStream.Times.newHistogram();
        measurePlain("lookup", () -> OverheadMeasurement.toUnits(sender.sendLookup(node, ignored)));
        String token = sender.getRunToken(node);
        measurePlain(
                "booking at the owner of its key",
                () -> OverheadMeasurement.toUnits(sender.sendBooking(node, token, ignored)));
    }

    private void measureChats() {
        String node = sender.getNonCoordinator();
        TimedStream.Times ignored = TimedStream.Times.create();
        OpenLoopLoad.run(
                60, 1 + 12 * scale, () -> sender.sendChat(node, 40, ignored).getCompletion());
        List<double[]> inputs = new ArrayList<>();
        List<Double> nodeSeconds = new ArrayList<>();
        List<double[]> placements = new ArrayList<>();
        List<Double> coordinatorSeconds = new ArrayList<>();
        ManagedProcess caller = sender.getDeployment().getProcess(node);
        ManagedProcess coordinator = sender.getDeployment().getProcess(sender.getCoordinator());
        int[][] loads = {{10, 10}, {60, 10}, {10, 150}, {40, 50}, {30, 100}};
        for (int[] load : loads) {
            double before = ProcessMetrics.getCpuSeconds(caller);
            double coordinatorBefore = ProcessMetrics.getCpuSeconds(coordinator);
            OpenLoopLoad.Outcome outcome = OpenLoopLoad.run(
                    load[0],
                    6 * scale,
                    () -> sender.sendChat(node, load[1], ignored).getCompletion());
            double used = ProcessMetrics.getCpuSeconds(caller) - before;
            double coordinatorUsed = ProcessMetrics.getCpuSeconds(coordinator) - coordinatorBefore;
            inputs.add(new double[] {outcome.seconds(), outcome.requests(), outcome.units()});
            nodeSeconds.add(used);
            placements.add(new double[] {outcome.seconds(), outcome.requests()});
            coordinatorSeconds.add(coordinatorUsed);
            reportRun(load[0] + " chats/s of " + load[1] + " tokens", outcome, used);
        }
        double[] fit = LeastSquares.fit(inputs, nodeSeconds);
        report.add("caller's node: idle share of a core (fit)", 100 * fit[0], "%");
        report.add("caller's node: processor time for each chat (fit)", MICROS_PER_SECOND * fit[1], "us");
        report.add("caller's node: processor time for each relayed token (fit)", MICROS_PER_SECOND * fit[2], "us");
        report.add("chats/s for each core, without tokens", 1 / fit[1], "chats/s");
        report.add("tokens/s for each core, without chats", 1 / fit[2], "tokens/s");
        double[] placement = LeastSquares.fit(placements, coordinatorSeconds);
        report.add("coordinator: idle share of a core (fit)", 100 * placement[0], "%");
        report.add("coordinator: processor time for each placement (fit)", MICROS_PER_SECOND * placement[1], "us");
    }

    private void measurePlain(String name, Supplier<CompletableFuture<Integer>> request) {
        OpenLoopLoad.run(300, 0.5 + 3.5 * scale, request);
        ManagedProcess node = sender.getDeployment().getProcess(sender.getNonCoordinator());
        List<double[]> inputs = new ArrayList<>();
        List<Double> seconds = new ArrayList<>();
        for (int rate : new int[] {20, 150, 300}) {
            double before = ProcessMetrics.getCpuSeconds(node);
            OpenLoopLoad.Outcome outcome = OpenLoopLoad.run(rate, 4 * scale, request);
            double used = ProcessMetrics.getCpuSeconds(node) - before;
            inputs.add(new double[] {outcome.seconds(), outcome.requests()});
            seconds.add(used);
            reportRun(rate + " calls/s, " + name, outcome, used);
        }
        double[] fit = LeastSquares.fit(inputs, seconds);
        report.add(name + ": processor time for each call (fit)", MICROS_PER_SECOND * fit[1], "us");
        report.add(name + ": calls/s for each core", 1 / fit[1], "calls/s");
    }

    private void reportRun(String name, OpenLoopLoad.Outcome outcome, double used) {
        report.add(name + ": calls without a complete answer, of " + outcome.requests(), outcome.failed(), "calls");
        report.add(name + ": tokens or answers relayed", outcome.units() / outcome.seconds(), "/s");
        report.add(name + ": processor time of the node", 100 * used / outcome.seconds(), "% of a core");
    }
}
