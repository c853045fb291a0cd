package org.magnoliavane.emulator.load;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;

/**
 * Sends the requests of a plan at their arrival times, independently of earlier responses, and collects the results.
 */
public final class LoadRun {
    private static final long NANOS_PER_MICRO = 1000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadContext context;
    private final LoadStatistics statistics;
    private final List<PlannedRequest> plan;
    private final CountDownLatch unfinished;

    private LoadRun(LoadContext context) {
        this.context = context;
        statistics = new LoadStatistics(context.options());
        plan = RequestPlan.of(context.options());
        unfinished = new CountDownLatch(plan.size());
    }

    /**
     * Runs until every request has its final response or has timed out.
     *
     * @param arguments the options as on the command line
     * @return the result
     * @throws IOException when the client cannot be started
     * @throws InterruptedException when the thread is interrupted
     */
    public static LoadResult run(String... arguments) throws IOException, InterruptedException {
        return run(CommandOptions.parse(new LoadOptions(), arguments));
    }

    /**
     * Runs until every request has its final response or has timed out.
     *
     * @param options the options
     * @return the result
     * @throws IOException when the client cannot be started
     * @throws InterruptedException when the thread is interrupted
     */
    public static LoadResult run(LoadOptions options) throws IOException, InterruptedException {
        try (HttpClient http = HttpClient.open("load");
                Timers timers = Timers.start("load-timers")) {
            NodeAddresses addresses = new NodeAddresses(http, timers, options);
            addresses.start().join();
            return new LoadRun(new LoadContext(options, http, timers, addresses)).run();
        }
    }

    /**
     * Starts a run in the background.
     *
     * @param arguments the options as on the command line
     * @return the result, available when every request has its final response or has timed out
     */
    public static CompletableFuture<LoadResult> start(String... arguments) {
        LoadOptions options = CommandOptions.parse(new LoadOptions(), arguments);
        CompletableFuture<LoadResult> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> complete(result, options), "load-run");
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    /**
     * Runs the load and prints the result, as a table or as JSON.
     *
     * @param options the options
     * @throws IOException when the client cannot be started
     * @throws InterruptedException when the thread is interrupted
     */
    public static void runAndPrint(LoadOptions options) throws IOException, InterruptedException {
        LoadResult result = run(options);
        System.out.println(options.isJson() ? Json.toJson(result) : LoadTable.of(result));
    }

    private static void complete(CompletableFuture<LoadResult> result, LoadOptions options) {
        try {
            result.complete(run(options));
        } catch (IOException | InterruptedException | RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    private LoadResult run() throws InterruptedException {
        long startNanos = System.nanoTime();
        for (PlannedRequest request : plan) {
            long arrivalNanos = startNanos + request.arrivalMicros() * NANOS_PER_MICRO;
            long waitNanos = arrivalNanos - System.nanoTime();
            if (waitNanos > 0) {
                Thread.sleep(waitNanos / NANOS_PER_MILLI, (int) (waitNanos % NANOS_PER_MILLI));
            }
            send(request, arrivalNanos);
        }
        unfinished.await();
        return statistics.toResult((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }

    private void send(PlannedRequest request, long arrivalNanos) {
        if (request.booking()) {
            new BookingExecution(context, request, arrivalNanos, this::addReport).start();
        } else {
            new ChatExecution(context, request, arrivalNanos, this::addReport).start();
        }
    }

    private void addReport(ChatReport report) {
        statistics.addReport(report);
        unfinished.countDown();
    }

    private void addReport(BookingReport report) {
        statistics.addReport(report);
        unfinished.countDown();
    }
}
