package org.magnoliavane.router.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.AdmissionForecast;
import org.magnoliavane.balance.Backlog;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.StepTimes;

/**
 * Decides which model requests can be served in time: at which workers a stream can end before its deadline, and whether a
 * new request can be expected to start before its latest start.
 *
 * <p>Thread-safe.
 */
public final class AdmissionControl {
    private final AdmissionForecast forecast;
    private final StepTimes stepTimes;
    private final LongSupplier clockMillis;
    private final DoubleSupplier random;

    /**
     * Creates an admission control.
     *
     * @param forecast estimates waits
     * @param stepTimes the measured speeds of the workers
     * @param clockMillis a monotonic clock, in milliseconds
     * @param random supplies random numbers between 0 and 1
     */
    public AdmissionControl(
            AdmissionForecast forecast, StepTimes stepTimes, LongSupplier clockMillis, DoubleSupplier random) {
        this.forecast = forecast;
        this.stepTimes = stepTimes;
        this.clockMillis = clockMillis;
        this.random = random;
    }

    /** Measures the time until a reservation is released. */
    ReservationService.Reservation measure(String service, int tokens, ReservationService.Reservation reservation) {
        long sinceMillis = clockMillis.getAsLong();
        AtomicBoolean released = new AtomicBoolean();
        return () -> {
            reservation.release();
            if (released.compareAndSet(false, true)) {
                forecast.recordReservation(service, tokens, clockMillis.getAsLong() - sinceMillis);
            }
        };
    }

    /** Returns whether a worker can write a number of output tokens within a time. */
    boolean isFastEnough(ListedWorker worker, int outputTokens, long remainingMillis) {
        return outputTokens * stepTimes.getStepMillis(worker) <= remainingMillis;
    }

    /**
     * Refuses a request if no worker can end it before its deadline, or if it cannot be expected to start in time.
     *
     * @param workers the workers of the request
     * @param own the requests that wait at this node
     * @param service the name of the service
     * @param urgency the urgency up to which waiting requests count as ahead of it
     * @param latestStartInMillis the time until the request must start, in milliseconds
     * @param remainingMillis the time until its deadline, in milliseconds
     * @return the refusal; empty if the request may be served in time
     */
    Optional<Refusal> findRefusal(
            StreamWorkers workers,
            Collection<Backlog> own,
            String service,
            int urgency,
            long latestStartInMillis,
            long remainingMillis) {
        List<ListedWorker> usable = workers.getUsable();
        if (!usable.isEmpty() && usable.stream().noneMatch(workers::isFastEnough)) {
            return Optional.of(new Refusal(
                    "deadline",
                    "no worker can end the stream in time",
                    "workers=" + usable.size() + " remaining_millis=" + remainingMillis,
                    RequestExecution.NO_WORKER_RETRY_AFTER_MILLIS));
        }
        OptionalLong wait = estimateWaitMillis(workers, usable, own, service, urgency);
        if (wait.isEmpty() || !AdmissionForecast.isHopeless(wait.getAsLong(), latestStartInMillis)) {
            return Optional.empty();
        }
        long retryAfterMillis =
                AdmissionForecast.computeRetryAfterMillis(wait.getAsLong(), remainingMillis, random.getAsDouble());
        return Optional.of(new Refusal(
                "wait",
                "the expected wait is too long",
                "wait_millis=" + wait.getAsLong() + " latest_start_in_millis=" + latestStartInMillis
                        + " retry_after_millis=" + retryAfterMillis,
                retryAfterMillis));
    }

    /** Estimates how long a request waits for memory; empty if nothing is known. */
    OptionalLong estimateWaitMillis(
            StreamWorkers workers,
            Collection<ListedWorker> usable,
            Collection<Backlog> own,
            String service,
            int urgency) {
        long decoding = usable.stream()
                .filter(w -> w.server().role() == WorkerRole.DECODE)
                .count();
        return workers.findEngine()
                .map(e ->
                        forecast.estimateWaitMillis(service, urgency, own, e, (int) decoding, clockMillis.getAsLong()))
                .orElse(OptionalLong.empty());
    }

    /** Counts the requests that wait at all nodes, as far as known. */
    int countWaiting(Collection<Backlog> own, String service) {
        return forecast.countWaiting(service, own, clockMillis.getAsLong());
    }

    /**
     * Why a request is refused.
     *
     * @param cause names the cause in logs and metrics
     * @param reason describes the cause to the caller
     * @param detail the inputs of the decision, for the log
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     */
    record Refusal(String cause, String reason, String detail, long retryAfterMillis) {}
}
