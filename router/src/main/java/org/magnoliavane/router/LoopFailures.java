package org.magnoliavane.router;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.http.Failures;

/**
 * Logs and counts the rounds of loops that fail, so that a loop goes on after any exception or error of one round.
 *
 * <p>Thread-safe.
 */
public final class LoopFailures {
    private static final Logger LOG = System.getLogger(LoopFailures.class.getName());

    private final MetricRegistry metrics;

    private LoopFailures(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Creates an instance.
     *
     * @param metrics receives a counter for each loop of which a round has failed
     * @return the instance
     */
    public static LoopFailures create(MetricRegistry metrics) {
        return new LoopFailures(metrics);
    }

    /**
     * Creates a task that runs a round of a loop and never throws.
     *
     * @param loop the name of the loop
     * @param round the round
     * @return the task
     */
    public Runnable guard(String loop, Runnable round) {
        return () -> run(loop, round);
    }

    /**
     * Starts a loop whose next round follows the end of the last one after a delay, also if that one has failed.
     *
     * @param loop the name of the loop
     * @param timers runs the rounds
     * @param delayMillis the delay in milliseconds before each round
     * @param round the round
     */
    public void repeat(String loop, ScheduledExecutorService timers, long delayMillis, Runnable round) {
        timers.scheduleWithFixedDelay(guard(loop, round), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a round of a loop, and records its failure.
     *
     * @param loop the name of the loop
     * @param round the round
     * @return false if the round has failed
     */
    public boolean run(String loop, Runnable round) {
        try {
            round.run();
            return true;
        } catch (RuntimeException | Error e) {
            record(loop, e);
            return false;
        }
    }

    /**
     * Makes a call of a loop that returns a stage.
     *
     * @param loop the name of the loop
     * @param call the call
     * @param <T> the type of the result
     * @return the stage; a failed one if the call has thrown
     */
    public <T> CompletionStage<T> call(String loop, Supplier<CompletionStage<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException | Error e) {
            record(loop, e);
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Records a failed round. Never throws.
     *
     * @param loop the name of the loop
     * @param failure the exception or error
     */
    public void record(String loop, Throwable failure) {
        try {
            metrics.counter(getCounterName(loop)).inc();
            StackTraceElement[] trace = failure.getStackTrace();
            LOG.log(
                    Level.ERROR,
                    "event=round_failed loop={0} reason=\"{1}\" at=\"{2}\"",
                    loop,
                    failure,
                    trace.length == 0 ? "" : trace[0]);
        } catch (Throwable e) {
            // An error of the virtual machine may also occur here; the loop must go on.
            Failures.recordSurvived("loop_failure", e);
        }
    }

    /**
     * Gets the name of the counter of a loop.
     *
     * @param loop the name of the loop
     * @return the name in the metrics
     */
    public static String getCounterName(String loop) {
        return "loops." + loop + ".failed";
    }
}
