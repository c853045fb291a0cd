package org.magnoliavane.router.dispatch;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.AdmissionForecast;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.StepTimes;
import org.magnoliavane.routing.EngineProfile;

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

    /** Estimates how long a new request waits; empty if nothing is known. */
    OptionalLong estimateWaitMillis(
            String service,
            int urgency,
            AdmissionQueues queues,
            EngineProfile engine,
            Collection<ListedWorker> workers) {
        long decoding = workers.stream()
                .filter(w ->
                        w.server().role() == WorkerRole.DECODE && !w.server().leaving())
                .count();
        return forecast.estimateWaitMillis(
                service, urgency, queues.getBacklogs(), engine, (int) decoding, clockMillis.getAsLong());
    }

    /** Computes the time after which the caller of a refused request may retry. */
    long computeRetryAfterMillis(long waitMillis, long remainingMillis) {
        return AdmissionForecast.computeRetryAfterMillis(waitMillis, remainingMillis, random.getAsDouble());
    }
}
