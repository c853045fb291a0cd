package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Makes calls at an even rate whether earlier ones are answered or not, and waits for the last answer. */
final class OpenLoop {
    private static final long DRAIN_SECONDS = 30;

    private OpenLoop() {}

    /**
     * Makes the calls.
     *
     * @param perSecond the calls per second
     * @param seconds the time in which calls begin
     * @param call makes one call; gives what it relayed, negative when it failed
     * @return what became of the calls
     */
    static Outcome run(double perSecond, double seconds, Supplier<CompletableFuture<Integer>> call) {
        List<CompletableFuture<Integer>> calls = new ArrayList<>();
        long start = System.nanoTime();
        int total = (int) Math.round(perSecond * seconds);
        for (int i = 0; i < total; i++) {
            sleepUntil(start + (long) (i / perSecond * 1e9));
            calls.add(call.get().exceptionally(failure -> -1));
        }
        calls.forEach(each -> each.completeOnTimeout(-1, DRAIN_SECONDS, TimeUnit.SECONDS));
        List<Integer> units = calls.stream().map(CompletableFuture::join).toList();
        double elapsed = (System.nanoTime() - start) / 1e9;
        int failed = (int) units.stream().filter(u -> u < 0).count();
        long sum = units.stream().filter(u -> u > 0).mapToLong(u -> u).sum();
        return new Outcome(total, failed, sum, elapsed);
    }

    private static void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    /**
     * What became of the calls.
     *
     * @param calls the calls made
     * @param failed the calls without a complete answer
     * @param units what complete answers relayed, for example tokens
     * @param seconds the time from the first call to the last answer
     */
    record Outcome(int calls, int failed, long units, double seconds) {}
}
