package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.HdrHistogram.Histogram;

/**
 * Measures the time that a node adds to a call, at low load. Callers alternate between a node and the backend server, so
 * that both kinds of calls meet the same state of the machine and of the engines.
 */
final class Overhead {
    private static final int CALLERS = 3;
    private static final int TOKENS = 12;
    private static final int WARM_UP_CALLS = 150;

    private final Calls calls;
    private final Report report;
    private final double scale;
    private final AtomicInteger failed = new AtomicInteger();

    Overhead(Calls calls, Report report, double scale) {
        this.calls = calls;
        this.report = report;
        this.scale = scale;
    }

    void measure() {
        report.begin("overhead");
        measureChats(calls.getOtherNode(), "caller's node and coordinator differ");
        measurePlain();
        report.add("calls without a complete answer", failed.get(), "calls");
    }

    private void measureChats(String node, String note) {
        TimedStream.Times through = TimedStream.Times.create();
        TimedStream.Times direct = TimedStream.Times.create();
        warmUp(node);
        alternate(
                22 * scale,
                caller -> calls.chat(node, TOKENS, through).getTokens(),
                caller -> calls.chatDirectly("prefill-" + (caller + 1), "decode-" + (caller + 1), TOKENS, direct));
        report.add("chats through the node (" + note + ")", through.first().getTotalCount(), "chats");
        compare("time to first token", through.first(), direct.first());
        compare("time between tokens", through.between(), direct.between());
    }

    private void warmUp(String node) {
        TimedStream.Times ignored = TimedStream.Times.create();
        OpenLoop.run(
                30,
                WARM_UP_CALLS * scale / 30 + 1,
                () -> calls.chat(node, TOKENS, ignored).getTokens());
    }

    private void measurePlain() {
        String node = calls.getOtherNode();
        String owner = calls.getCoordinator();
        String token = calls.getRunToken(node);
        String otherToken = calls.getRunToken(owner);
        Histogram ignored = TimedStream.Times.newHistogram();
        OpenLoop.run(100, 2 * scale + 0.5, () -> toCount(calls.book(node, otherToken, ignored)));
        OpenLoop.run(100, 2 * scale + 0.5, () -> toCount(calls.lookUp(node, ignored)));
        comparePlain("lookup", times -> calls.lookUp(node, times), times -> calls.lookUp("plain-1", times));
        comparePlain(
                "booking at the owner of its key",
                times -> calls.book(node, token, times),
                times -> calls.book("plain-1", token, times));
        comparePlain(
                "booking relayed to the owner of its key",
                times -> calls.book(node, otherToken, times),
                times -> calls.book("plain-1", otherToken, times));
    }

    private void comparePlain(
            String name,
            Function<Histogram, CompletableFuture<Boolean>> through,
            Function<Histogram, CompletableFuture<Boolean>> direct) {
        Histogram throughTimes = TimedStream.Times.newHistogram();
        Histogram directTimes = TimedStream.Times.newHistogram();
        alternate(
                4 * scale,
                caller -> toCount(through.apply(throughTimes)),
                caller -> toCount(direct.apply(directTimes)));
        compare(name, throughTimes, directTimes);
    }

    private void alternate(
            double seconds,
            Function<Integer, CompletableFuture<Integer>> through,
            Function<Integer, CompletableFuture<Integer>> direct) {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            threads.add(new Thread(() -> alternateUntil(end, caller, through, direct), "caller-" + i));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            join(thread);
        }
    }

    private void alternateUntil(
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

    private void compare(String name, Histogram through, Histogram direct) {
        for (double quantile : new double[] {50, 99}) {
            double node = through.getValueAtPercentile(quantile) / 1000.0;
            double server = direct.getValueAtPercentile(quantile) / 1000.0;
            String which = name + ", " + (quantile == 50 ? "median" : "99th percentile");
            report.add(which + ", direct (" + direct.getTotalCount() + " values)", server, "ms");
            report.add(which + ", through the node (" + through.getTotalCount() + " values)", node, "ms");
            report.add(which + ", added", node - server, "ms");
        }
    }

    static CompletableFuture<Integer> toCount(CompletableFuture<Boolean> answer) {
        return answer.thenApply(good -> good ? 1 : -1);
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
