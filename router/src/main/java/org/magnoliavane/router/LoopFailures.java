package org.magnoliavane.router;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import com.codahale.metrics.MetricRegistry;

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
     * Records a failed round.
     *
     * @param loop the name of the loop
     * @param failure the exception or error
     */
    public void record(String loop, Throwable failure) {
        metrics.counter(getCounterName(loop)).inc();
        StackTraceElement[] trace = failure.getStackTrace();
        LOG.log(
                Level.ERROR,
                "event=round_failed loop={0} reason=\"{1}\" at=\"{2}\"",
                loop,
                failure,
                trace.length == 0 ? "" : trace[0]);
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
