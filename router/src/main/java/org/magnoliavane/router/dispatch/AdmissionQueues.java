package org.magnoliavane.router.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.magnoliavane.balance.AdmissionQueue;
import org.magnoliavane.router.LoopFailures;

/**
 * Holds the requests of this node that wait for free capacity at the workers of a service, and admits them one at a time in
 * the order of {@link AdmissionQueue}. Overdue requests also yield to on-time requests of other nodes, because a response
 * occupies capacity for seconds and would make other requests overdue in turn.
 *
 * <p>Thread-safe.
 */
public final class AdmissionQueues {
    /**
     * Longest delay between two polls for free capacity, in milliseconds. The delay is random, so that the nodes do not all
     * request the same capacity at the same time.
     */
    private static final double MAX_POLL_MILLIS = 30;

    /**
     * Number of requests that are tried in each poll. The later ones use capacity that is too small for the first, which
     * keeps its claim on a worker.
     */
    private static final int MAX_CANDIDATES = 4;

    private static final String LOOP = "admission";

    /** Outcome of an attempt to admit a request. */
    enum Outcome {
        /** The request is admitted or no longer waits. */
        ADMITTED,
        /** No worker has free capacity. */
        NO_CAPACITY,
        /** A reservation is requested; {@link #handleReservationResult} receives the result. */
        PENDING
    }

    /** A request that waits for free capacity. */
    interface WaitingRequest {
        /**
         * Admits the request if a worker has free capacity.
         *
         * @param mayClaim whether the request may claim capacity that becomes free: it is the first in its queue and can
         *     still be on time
         */
        Outcome tryAdmit(boolean mayClaim);

        /** Returns whether the request no longer waits. */
        boolean isDone();
    }

    private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timers;
    private final LongSupplier clockMillis;
    private final DoubleSupplier random;
    private final Predicate<String> onTimeElsewhere;
    private final Runnable onChange;
    private final LoopFailures failures;

    /**
     * Creates empty queues.
     *
     * @param timers runs the polls for free capacity
     * @param clockMillis a monotonic clock, in milliseconds
     * @param random supplies random numbers between 0 and 1
     * @param onTimeElsewhere returns whether on-time requests for a service wait at another node
     * @param onChange called when this node gets its first waiting on-time request for a service, or has none left
     * @param failures records failed attempts
     */
    public AdmissionQueues(
            ScheduledExecutorService timers,
            LongSupplier clockMillis,
            DoubleSupplier random,
            Predicate<String> onTimeElsewhere,
            Runnable onChange,
            LoopFailures failures) {
        this.timers = timers;
        this.clockMillis = clockMillis;
        this.random = random;
        this.onTimeElsewhere = onTimeElsewhere;
        this.onChange = onChange;
        this.failures = failures;
    }

    /**
     * Gets the services for which on-time requests wait at this node.
     *
     * @return the names of the services
     */
    public List<String> getServicesWithOnTimeRequests() {
        return queues.values().stream()
                .filter(this::hasOnTime)
                .map(q -> q.service)
                .toList();
    }

    private boolean hasOnTime(ServiceQueue queue) {
        synchronized (queue) {
            return queue.waiting.hasOnTime(clockMillis.getAsLong());
        }
    }

    void enqueue(String service, WaitingRequest request, long arrivalMillis, long latestStartMillis) {
        ServiceQueue queue = queues.computeIfAbsent(service, ServiceQueue::new);
        synchronized (queue) {
            queue.waiting.add(request, arrivalMillis, latestStartMillis);
        }
        admitWaiting(queue);
    }

    /** Admits waiting requests of a service; called when capacity may have become free. */
    void handleCapacityFreed(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            admitWaiting(queue);
        }
    }

    /**
     * Continues after the result of a reservation. Only one request of a queue has a reservation pending at a time, which
     * preserves the order and limits the number of messages while a service is full.
     */
    void handleReservationResult(String service, boolean granted) {
        ServiceQueue queue = queues.get(service);
        synchronized (queue) {
            queue.reservationPending = false;
            if (!granted && !advance(queue)) {
                return;
            }
        }
        admitWaiting(queue);
    }

    /**
     * Admits requests until none is left or a reservation is pending. One thread at a time does this for a queue; a call
     * meanwhile, which an attempt may also make itself, lets that thread continue.
     */
    private void admitWaiting(ServiceQueue queue) {
        synchronized (queue) {
            queue.admissionRequested = true;
            if (queue.admitting) {
                return;
            }
            queue.admitting = true;
        }
        while (continueAdmitting(queue)) {
            if (!failures.run(LOOP, () -> admitNext(queue))) {
                failures.run(LOOP, () -> restartAfterFailure(queue));
            }
        }
        failures.run(LOOP, () -> reportOnTime(queue));
    }

    private void restartAfterFailure(ServiceQueue queue) {
        synchronized (queue) {
            queue.reservationPending = false;
            restart(queue);
        }
    }

    private static boolean continueAdmitting(ServiceQueue queue) {
        synchronized (queue) {
            queue.admitting = queue.admissionRequested;
            queue.admissionRequested = false;
            return queue.admitting;
        }
    }

    private void reportOnTime(ServiceQueue queue) {
        synchronized (queue) {
            boolean hasOnTime = queue.waiting.hasOnTime(clockMillis.getAsLong());
            if (hasOnTime == queue.reportedOnTime) {
                return;
            }
            queue.reportedOnTime = hasOnTime;
        }
        onChange.run();
    }

    private void admitNext(ServiceQueue queue) {
        // Requests and other components are called without the lock.
        for (Optional<Attempt> next = startAttempt(queue); next.isPresent(); next = startAttempt(queue)) {
            Attempt attempt = next.get();
            if (attempt.entry.isOverdue(attempt.nowMillis) && onTimeElsewhere.test(queue.service)) {
                synchronized (queue) {
                    queue.reservationPending = false;
                    restart(queue);
                }
                return;
            }
            Outcome outcome = tryAdmit(attempt);
            if (outcome == Outcome.PENDING) {
                // A result that arrived during the attempt has requested to continue.
                return;
            }
            synchronized (queue) {
                queue.reservationPending = false;
                if (outcome == Outcome.ADMITTED) {
                    queue.waiting.remove(attempt.entry);
                } else if (!advance(queue)) {
                    return;
                }
            }
        }
    }

    /** Chooses the request to try next; empty if a reservation is pending or no request can be tried before the next poll. */
    private Optional<Attempt> startAttempt(ServiceQueue queue) {
        synchronized (queue) {
            if (queue.reservationPending) {
                return Optional.empty();
            }
            long now = clockMillis.getAsLong();
            Optional<AdmissionQueue.Entry<WaitingRequest>> next = queue.waiting.peek(queue.candidate, now);
            if (next.isEmpty()) {
                if (queue.candidate > 0) {
                    restart(queue);
                }
                return Optional.empty();
            }
            // Set before the attempt, because the result may arrive before it returns.
            queue.reservationPending = true;
            return Optional.of(new Attempt(next.get(), now, queue.candidate == 0));
        }
    }

    /** Tries to admit a request. One whose attempt fails leaves the queue, and is refused when its wait ends. */
    private Outcome tryAdmit(Attempt attempt) {
        WaitingRequest request = attempt.entry.request();
        try {
            return request.isDone()
                    ? Outcome.ADMITTED
                    : request.tryAdmit(attempt.first && !attempt.entry.isOverdue(attempt.nowMillis));
        } catch (RuntimeException | Error e) {
            failures.record(LOOP, e);
            return Outcome.ADMITTED;
        }
    }

    /** Continues with the next candidate, or waits for the next poll and returns false if there are no more. */
    private boolean advance(ServiceQueue queue) {
        queue.candidate++;
        if (queue.candidate < MAX_CANDIDATES) {
            return true;
        }
        restart(queue);
        return false;
    }

    /** Continues with the first request at the next poll. */
    private void restart(ServiceQueue queue) {
        queue.candidate = 0;
        schedulePoll(queue);
    }

    private void schedulePoll(ServiceQueue queue) {
        if (!queue.pollScheduled) {
            queue.pollScheduled = true;
            long delayMillis = 1 + (long) (MAX_POLL_MILLIS * random.getAsDouble());
            timers.schedule(failures.guard(LOOP, () -> poll(queue)), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void poll(ServiceQueue queue) {
        synchronized (queue) {
            queue.pollScheduled = false;
        }
        admitWaiting(queue);
    }

    private static final class ServiceQueue {
        private final String service;
        private final AdmissionQueue<WaitingRequest> waiting = new AdmissionQueue<>();
        private boolean reportedOnTime;
        private boolean pollScheduled;
        private boolean reservationPending;
        private boolean admitting;
        private boolean admissionRequested;
        private int candidate;

        ServiceQueue(String service) {
            this.service = service;
        }
    }

    private record Attempt(AdmissionQueue.Entry<WaitingRequest> entry, long nowMillis, boolean first) {}
}
