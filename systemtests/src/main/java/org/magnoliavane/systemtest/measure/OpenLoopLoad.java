package org.magnoliavane.systemtest.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Sends requests at a constant rate regardless of earlier responses (open loop), and waits for the last response. */
final class OpenLoopLoad {
    private static final long RESPONSE_TIMEOUT_SECONDS = 30;

    private OpenLoopLoad() {}

    /**
     * Sends the requests.
     *
     * @param perSecond the requests per second
     * @param seconds the time in which requests are sent, in seconds
     * @param send sends one request; the future gives the number of units received, negative when the request failed
     * @return the result of the run
     */
    static Outcome run(double perSecond, double seconds, Supplier<CompletableFuture<Integer>> send) {
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        long start = System.nanoTime();
        int total = (int) Math.round(perSecond * seconds);
        for (int i = 0; i < total; i++) {
            sleepUntil(start + (long) (i / perSecond * 1e9));
            responses.add(send.get().exceptionally(failure -> -1));
        }
        responses.forEach(response -> response.completeOnTimeout(-1, RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        List<Integer> units = responses.stream().map(CompletableFuture::join).toList();
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
     * Holds the result of a run.
     *
     * @param requests the number of requests sent
     * @param failed the number of requests without a complete response
     * @param units the sum of the units of complete responses, for example tokens
     * @param seconds the time from the first request to the last response, in seconds
     */
    record Outcome(int requests, int failed, long units, double seconds) {}
}
