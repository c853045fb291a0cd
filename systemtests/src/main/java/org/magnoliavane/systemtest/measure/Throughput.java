package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.HdrHistogram.Histogram;
import org.magnoliavane.systemtest.ManagedProcess;

/**
 * Measures the processor time of a node for each request and each relayed token, and that of the coordinator for each
 * placement. The time that a node takes when idle is one more unknown of each fit.
 */
final class Throughput {
    private static final double MICROS = 1e6;

    private final Calls calls;
    private final Report report;
    private final double scale;

    Throughput(Calls calls, Report report, double scale) {
        this.calls = calls;
        this.report = report;
        this.scale = scale;
    }

    void measure() {
        report.begin("throughput");
        measureChats();
        String node = calls.getOtherNode();
        Histogram ignored = TimedStream.Times.newHistogram();
        measurePlain("lookup", () -> Overhead.toCount(calls.lookUp(node, ignored)));
        String token = calls.getRunToken(node);
        measurePlain("booking at the owner of its key", () -> Overhead.toCount(calls.book(node, token, ignored)));
    }

    private void measureChats() {
        String node = calls.getOtherNode();
        TimedStream.Times ignored = TimedStream.Times.create();
        OpenLoop.run(60, 1 + 12 * scale, () -> calls.chat(node, 40, ignored).getTokens());
        List<double[]> inputs = new ArrayList<>();
        List<Double> nodeSeconds = new ArrayList<>();
        List<double[]> placements = new ArrayList<>();
        List<Double> coordinatorSeconds = new ArrayList<>();
        ManagedProcess caller = calls.deployment().getProcess(node);
        ManagedProcess coordinator = calls.deployment().getProcess(calls.getCoordinator());
        int[][] plans = {{10, 10}, {60, 10}, {10, 150}, {40, 50}, {30, 100}};
        for (int[] plan : plans) {
            double before = ProcessFigures.getCpuSeconds(caller);
            double coordinatorBefore = ProcessFigures.getCpuSeconds(coordinator);
            OpenLoop.Outcome outcome = OpenLoop.run(
                    plan[0], 6 * scale, () -> calls.chat(node, plan[1], ignored).getTokens());
            double used = ProcessFigures.getCpuSeconds(caller) - before;
            double coordinatorUsed = ProcessFigures.getCpuSeconds(coordinator) - coordinatorBefore;
            inputs.add(new double[] {outcome.seconds(), outcome.calls(), outcome.units()});
            nodeSeconds.add(used);
            placements.add(new double[] {outcome.seconds(), outcome.calls()});
            coordinatorSeconds.add(coordinatorUsed);
            describe(plan[0] + " chats/s of " + plan[1] + " tokens", outcome, used);
        }
        double[] fit = LeastSquares.fit(inputs, nodeSeconds);
        report.add("caller's node: idle share of a core (fit)", 100 * fit[0], "%");
        report.add("caller's node: processor time for each chat (fit)", MICROS * fit[1], "us");
        report.add("caller's node: processor time for each relayed token (fit)", MICROS * fit[2], "us");
        report.add("chats/s for each core, without tokens", 1 / fit[1], "chats/s");
        report.add("tokens/s for each core, without chats", 1 / fit[2], "tokens/s");
        double[] placement = LeastSquares.fit(placements, coordinatorSeconds);
        report.add("coordinator: idle share of a core (fit)", 100 * placement[0], "%");
        report.add("coordinator: processor time for each placement (fit)", MICROS * placement[1], "us");
    }

    private void measurePlain(String name, Supplier<CompletableFuture<Integer>> call) {
        OpenLoop.run(300, 0.5 + 3.5 * scale, call);
        ManagedProcess node = calls.deployment().getProcess(calls.getOtherNode());
        List<double[]> inputs = new ArrayList<>();
        List<Double> seconds = new ArrayList<>();
        for (int rate : new int[] {20, 150, 300}) {
            double before = ProcessFigures.getCpuSeconds(node);
            OpenLoop.Outcome outcome = OpenLoop.run(rate, 4 * scale, call);
            double used = ProcessFigures.getCpuSeconds(node) - before;
            inputs.add(new double[] {outcome.seconds(), outcome.calls()});
            seconds.add(used);
            describe(rate + " calls/s, " + name, outcome, used);
        }
        double[] fit = LeastSquares.fit(inputs, seconds);
        report.add(name + ": processor time for each call (fit)", MICROS * fit[1], "us");
        report.add(name + ": calls/s for each core", 1 / fit[1], "calls/s");
    }

    private void describe(String name, OpenLoop.Outcome outcome, double used) {
        report.add(name + ": calls without a complete answer, of " + outcome.calls(), outcome.failed(), "calls");
        report.add(name + ": tokens or answers relayed", outcome.units() / outcome.seconds(), "/s");
        report.add(name + ": processor time of the node", 100 * used / outcome.seconds(), "% of a core");
    }
}
