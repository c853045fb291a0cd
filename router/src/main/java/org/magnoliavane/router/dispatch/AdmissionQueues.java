package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.magnoliavane.balance.AdmissionQueue;
import org.magnoliavane.balance.Backlog;
import org.magnoliavane.router.LoopFailures;

/**
 * Holds the requests of this node that wait for free capacity at the workers of a service. The first few in the order of
 * {@link AdmissionQueue} ask the reservation owners of workers for capacity, and wait there; the others wait here. Overdue
 * requests also yield to on-time requests of other nodes, because a response occupies capacity for seconds and would make
 * other requests overdue in turn.
 *
 * <p>Thread-safe.
 */
public final class AdmissionQueues {
    /**
     * Longest delay in milliseconds until requests are tried again for which no owner could be asked. The delay is random,
     * so that the nodes do not all ask at the same time.
     */
    private static final double MAX_POLL_MILLIS = 30;

    /** Number of requests of a service that ask at the same time. */
    private static final int MAX_ASKING = 4;

    private static final String LOOP = "admission";

    /** Outcome of an attempt to admit a request. */
    enum Outcome {
        /** The request is admitted or no longer waits. */
        ADMITTED,
        /** No worker can be asked for capacity. */
        NO_CAPACITY,
        /** The request asks for capacity; {@link #handleReservationResult} receives the result. */
        PENDING
    }

    /** A request that waits for free capacity. */
    interface WaitingRequest {
        /** Admits the request, or asks for capacity if a worker may have some soon. */
        Outcome tryAdmit();

        /** Stops asking for capacity, because other requests precede this one now. It may be tried again later. */
        void withdraw();

        /** Returns whether the request no longer waits. */
        boolean isDone();

        /** Gets the capacity that the request needs, in tokens. */
        int getTokens();
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
     * @param timers runs the polls
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

    /**
     * Adds a request, which is tried at once if it is among the first.
     *
     * @param service the name of the service
     * @param request the request
     * @param urgency the rank in the order of admission; 0 is the most urgent
     * @param arrivalMillis the arrival time, in milliseconds
     * @param latestStartMillis the latest start time at which the request is on time, in milliseconds
     */
    void enqueue(String service, WaitingRequest request, int urgency, long arrivalMillis, long latestStartMillis) {
        ServiceQueue queue = queues.computeIfAbsent(service, ServiceQueue::new);
        synchronized (queue) {
            queue.remove(request);
            if (queue.entries.isEmpty()) {
                queue.lastProgressMillis = clockMillis.getAsLong();
            }
            queue.entries.put(request, queue.waiting.add(request, urgency, arrivalMillis, latestStartMillis));
        }
        admitWaiting(queue);
    }

    /**
     * Gets the requests that wait at this node.
     *
     * @return the backlogs of all services and urgencies
     */
    public List<Backlog> getBacklogs() {
        List<Backlog> backlogs = new ArrayList<>();
        for (ServiceQueue queue : queues.values()) {
            synchronized (queue) {
                Map<Integer, Backlog> byUrgency = new TreeMap<>();
                queue.waiting
                        .getAll()
                        .forEach(e -> byUrgency.merge(
                                e.urgency(),
                                new Backlog(
                                        queue.service,
                                        e.urgency(),
                                        1,
                                        e.request().getTokens()),
                                Backlog::plus));
                backlogs.addAll(byUrgency.values());
            }
        }
        return backlogs;
    }

    /**
     * Gets the services of which requests wait.
     *
     * @return for each service, how many requests wait, and for how long none has been admitted
     */
    public List<WaitingRequests> getWaiting() {
        List<WaitingRequests> waiting = new ArrayList<>();
        for (ServiceQueue queue : queues.values()) {
            synchronized (queue) {
                if (!queue.entries.isEmpty()) {
                    long millis = clockMillis.getAsLong() - queue.lastProgressMillis;
                    waiting.add(new WaitingRequests(queue.service, queue.entries.size(), millis));
                }
            }
        }
        return waiting;
    }

    /** Returns whether a new on-time request would be among those that ask for capacity at once. */
    boolean wouldAsk(String service, int urgency) {
        ServiceQueue queue = queues.get(service);
        if (queue == null) {
            return true;
        }
        synchronized (queue) {
            return queue.waiting.countAhead(urgency, clockMillis.getAsLong()) < MAX_ASKING;
        }
    }

    /** Admits waiting requests of a service; called when capacity may have become free. */
    void handleCapacityFreed(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            synchronized (queue) {
                queue.tried.clear();
            }
            admitWaiting(queue);
        }
    }

    /**
     * Continues after the result of an attempt that was pending. A request that was granted, or waits no longer for another
     * reason, leaves the queue; another one is tried again later.
     */
    void handleReservationResult(String service, WaitingRequest request, boolean granted) {
        boolean leaves = granted || request.isDone();
        ServiceQueue queue = queues.computeIfAbsent(service, ServiceQueue::new);
        synchronized (queue) {
            if (leaves) {
                queue.remove(request);
                queue.recordProgress(granted, clockMillis.getAsLong());
            } else if (queue.asking.remove(request)) {
                queue.tried.add(request);
            }
        }
        admitWaiting(queue);
    }

    /**
     * Tries requests until none of the first ones is left to be tried. One thread at a time does this for a queue; a call
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
            if (!failures.run(LOOP, () -> admitFirst(queue))) {
                failures.run(LOOP, () -> scheduleAfterFailure(queue));
            }
        }
        failures.run(LOOP, () -> reportOnTime(queue));
    }

    private void scheduleAfterFailure(ServiceQueue queue) {
        synchronized (queue) {
            schedulePoll(queue);
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

    private void admitFirst(ServiceQueue queue) {
        // Requests and other components are called without the lock.
        for (Optional<Attempt> next = startAttempt(queue); next.isPresent(); next = startAttempt(queue)) {
            AdmissionQueue.Entry<WaitingRequest> entry = next.get().entry;
            next.get().displaced.forEach(r -> failures.run(LOOP, r::withdraw));
            Outcome outcome = Outcome.NO_CAPACITY;
            try {
                boolean yields = entry.isOverdue(next.get().nowMillis) && onTimeElsewhere.test(queue.service);
                outcome = yields ? Outcome.NO_CAPACITY : tryAdmit(entry.request());
            } finally {
                handleOutcome(queue, entry.request(), outcome);
            }
        }
    }

    private void handleOutcome(ServiceQueue queue, WaitingRequest request, Outcome outcome) {
        synchronized (queue) {
            if (outcome == Outcome.ADMITTED) {
                queue.remove(request);
                queue.recordProgress(true, clockMillis.getAsLong());
            } else if (outcome == Outcome.NO_CAPACITY) {
                queue.asking.remove(request);
                queue.tried.add(request);
            }
            // The result of a pending attempt may have arrived already.
        }
    }

    /** Chooses the request to try next; empty if each of the first ones asks or has been tried since the last poll. */
    private Optional<Attempt> startAttempt(ServiceQueue queue) {
        synchronized (queue) {
            long now = clockMillis.getAsLong();
            List<AdmissionQueue.Entry<WaitingRequest>> first = queue.waiting.peekFirst(MAX_ASKING, now);
            for (AdmissionQueue.Entry<WaitingRequest> entry : first) {
                if (!queue.tried.contains(entry.request()) && queue.asking.add(entry.request())) {
                    List<WaitingRequest> displaced = queue.asking.stream()
                            .filter(r -> first.stream().noneMatch(e -> e.request() == r))
                            .toList();
                    displaced.forEach(queue.asking::remove);
                    return Optional.of(new Attempt(entry, now, displaced));
                }
            }
            if (first.stream().anyMatch(e -> !queue.asking.contains(e.request()))) {
                schedulePoll(queue);
            }
            return Optional.empty();
        }
    }

    /** Tries to admit a request. One whose attempt fails leaves the queue, and is refused when its wait ends. */
    private Outcome tryAdmit(WaitingRequest request) {
        try {
            return request.isDone() ? Outcome.ADMITTED : request.tryAdmit();
        } catch (RuntimeException | Error e) {
            failures.record(LOOP, e);
            return Outcome.ADMITTED;
        }
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
            queue.tried.clear();
        }
        admitWaiting(queue);
    }

    /**
     * The requests of a service that wait.
     *
     * @param service the name of the service
     * @param requests the number of requests
     * @param millisWithoutAdmission the time for which requests have waited and none was admitted, in milliseconds
     */
    public record WaitingRequests(String service, int requests, long millisWithoutAdmission) {}

    private static final class ServiceQueue {
        private final String service;
        private final AdmissionQueue<WaitingRequest> waiting = new AdmissionQueue<>();
        private final Map<WaitingRequest, AdmissionQueue.Entry<WaitingRequest>> entries = new IdentityHashMap<>();

        /** Requests that ask for capacity or are being tried. */
        private final Set<WaitingRequest> asking = Collections.newSetFromMap(new IdentityHashMap<>());

        /** Requests that are not tried again before the next poll. */
        private final Set<WaitingRequest> tried = Collections.newSetFromMap(new IdentityHashMap<>());

        /** Time of the latest admission, or since which requests wait. */
        private long lastProgressMillis;

        private boolean reportedOnTime;
        private boolean pollScheduled;
        private boolean admitting;
        private boolean admissionRequested;

        ServiceQueue(String service) {
            this.service = service;
        }

        void recordProgress(boolean admitted, long nowMillis) {
            lastProgressMillis = admitted ? nowMillis : lastProgressMillis;
        }

        void remove(WaitingRequest request) {
            asking.remove(request);
            tried.remove(request);
            Optional.ofNullable(entries.remove(request)).ifPresent(waiting::remove);
        }
    }

    private record Attempt(
            AdmissionQueue.Entry<WaitingRequest> entry, long nowMillis, List<WaitingRequest> displaced) {}
}
