package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.HdrHistogram.Histogram;

/**
 * Measures the latency that a node adds to a request at low load. Callers alternate between a node and the backend
 * server, so that both kinds of requests meet the same state of the machine and of the engines.
 */
final class OverheadMeasurement {
    private static final int CALLERS = 3;
    private static final int TOKENS_PER_CHAT = 12;
    private static final int WARM_UP_CHATS = 150;

    private final RequestSender sender;
    private final Report report;
    private final double scale;
    private final AtomicInteger failed = new AtomicInteger();

    OverheadMeasurement(RequestSender sender, Report report, double scale) {
        this.sender = sender;
        this.report = report;
        this.scale = scale;
    }

    void measure() {
        report.beginSection("overhead");
        measureChats(sender.getNonCoordinator(), "caller's node and coordinator differ");
        measurePlain();
        report.add("calls without a complete answer", failed.get(), "calls");
    }

    private void measureChats(String node, String note) {
        TimedStream.Times through = TimedStream.Times.create();
        TimedStream.Times direct = TimedStream.Times.create();
        warmUp(node);
        runAlternating(
                22 * scale,
                caller -> sender.sendChat(node, TOKENS_PER_CHAT, through).getCompletion(),
                caller -> sender.sendChatDirectly(
                        "prefill-" + (caller + 1), "decode-" + (caller + 1), TOKENS_PER_CHAT, direct));
        report.add(
                "chats through the node (" + note + ")",
                through.timeToFirstToken().getTotalCount(),
                "chats");
        reportComparison("time to first token", through.timeToFirstToken(), direct.timeToFirstToken());
        reportComparison("time between tokens", through.timeBetweenTokens(), direct.timeBetweenTokens());
    }

    private void warmUp(String node) {
        TimedStream.Times ignored = TimedStream.Times.create();
        OpenLoopLoad.run(
                30,
                WARM_UP_CHATS * scale / 30 + 1,
                () -> sender.sendChat(node, TOKENS_PER_CHAT, ignored).getCompletion());
    }

    private void measurePlain() {
        String node = sender.getNonCoordinator();
        String owner = sender.getCoordinator();
        String token = sender.getRunToken(node);
        String otherToken = sender.getRunToken(owner);
        Histogram ignored = TimedStream.Times.newHistogram();
        OpenLoopLoad.run(100, 2 * scale + 0.5, () -> toUnits(sender.sendBooking(node, otherToken, ignored)));
        OpenLoopLoad.run(100, 2 * scale + 0.5, () -> toUnits(sender.sendLookup(node, ignored)));
        comparePlain("lookup", times -> sender.sendLookup(node, times), times -> sender.sendLookup("plain-1", times));
        comparePlain(
                "booking at the owner of its key",
                times -> sender.sendBooking(node, token, times),
                times -> sender.sendBooking("plain-1", token, times));
        comparePlain(
                "booking relayed to the owner of its key",
                times -> sender.sendBooking(node, otherToken, times),
                times -> sender.sendBooking("plain-1", otherToken, times));
    }

    private void comparePlain(
            String name,
            Function<Histogram, CompletableFuture<Boolean>> through,
            Function<Histogram, CompletableFuture<Boolean>> direct) {
        Histogram throughTimes = TimedStream.Times.newHistogram();
        Histogram directTimes = TimedStream.Times.newHistogram();
        runAlternating(
                4 * scale,
                caller -> toUnits(through.apply(throughTimes)),
                caller -> toUnits(direct.apply(directTimes)));
        reportComparison(name, throughTimes, directTimes);
    }

    private void runAlternating(
            double seconds,
            Function<Integer, CompletableFuture<Integer>> through,
            Function<Integer, CompletableFuture<Integer>> direct) {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            threads.add(new Thread(() -> sendAlternatingUntil(end, caller, through, direct), "caller-" + i));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            join(thread);
        }
    }

    private void sendAlternatingUntil(
            long end,
            int caller,
            Function<Integer, CompletableFuture<Integer>> through,
            Function<Integer, CompletableFuture<Integer>> direct) {
        while (System.nanoTime() < end) {
            countFailure(through.apply(caller).join());
            countFailure(direct.apply(caller).join());
        }
    }

    private void countFailure(int units) {
        if (units < 0) {
            failed.incrementAndGet();
        }
    }

    private void reportComparison(String name, Histogram through, Histogram direct) {
        for (double quantile : new double[] {50, 99}) {
            double throughMillis = through.getValueAtPercentile(quantile) / 1000.0;
            double directMillis = direct.getValueAtPercentile(quantile) / 1000.0;
            String label = name + ", " + (quantile == 50 ? "median" : "99th percentile");
            report.add(label + ", direct (" + direct.getTotalCount() + " values)", directMillis, "ms");
            report.add(label + ", through the node (" + through.getTotalCount() + " values)", throughMillis, "ms");
            report.add(label + ", added", throughMillis - directMillis, "ms");
        }
    }

    static CompletableFuture<Integer> toUnits(CompletableFuture<Boolean> response) {
        return response.thenApply(complete -> complete ? 1 : -1);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
