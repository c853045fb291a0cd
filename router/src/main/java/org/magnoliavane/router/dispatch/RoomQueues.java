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

import org.magnoliavane.balance.WaitingRoom;

/**
 * Holds the requests of this node that wait for room at the workers of a service, and places them one at a time in the
 * order of {@link WaitingRoom}. Requests that are late also leave the room to the punctual ones of other nodes: room that a
 * late answer takes for seconds would make others late in turn.
 *
 * <p>Thread-safe.
 */
public final class RoomQueues {
    /** Longest pause between two looks for room; nodes look at different times, so that they do not all take the same. */
    private static final double MAX_POLL_MILLIS = 30;

    /** Number of denials in a row after which the next look is a pause away. */
    private static final int MAX_CONSECUTIVE_REJECTIONS = 2;

    /** What became of a try to place a request. */
    enum Outcome {
        /** The request has its room. */
        ADMITTED,
        /** There is no room. */
        NO_CAPACITY,
        /** A steward is asked for room; {@link #handleReservationResult} tells the outcome. */
        PENDING
    }

    /** A request that waits for room. */
    interface WaitingRequest {
        /** Takes room, if there is any. */
        Outcome tryAdmit();

        /** Says whether the request no longer waits. */
        boolean isDone();
    }

    private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timers;
    private final LongSupplier clockMillis;
    private final DoubleSupplier random;
    private final Predicate<String> onTimeElsewhere;
    private final Runnable onChange;

    /**
     * Creates empty queues.
     *
     * @param timers runs the looks for room
     * @param millis a monotonic clock in milliseconds
     * @param random gives numbers from 0 to 1
     * @param punctualElsewhere says whether requests that can still be on time wait for a service at another node
     * @param onChange called when such requests begin or cease to wait here
     */
    public RoomQueues(
            ScheduledExecutorService timers,
            LongSupplier millis,
            DoubleSupplier random,
            Predicate<String> punctualElsewhere,
            Runnable onChange) {
        this.timers = timers;
        this.clockMillis = millis;
        this.random = random;
        this.onTimeElsewhere = punctualElsewhere;
        this.onChange = onChange;
    }

    /**
     * Gets the services for which requests wait here that can still be on time.
     *
     * @return the names of the services
     */
    public List<String> getPunctualServices() {
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

    void enqueue(String service, WaitingRequest request, long arrivalMillis, long startByMillis) {
        ServiceQueue queue = queues.computeIfAbsent(service, ServiceQueue::new);
        synchronized (queue) {
            queue.waiting.add(request, arrivalMillis, startByMillis);
        }
        admitWaiting(queue);
    }

    /** Places what has room now; called when a worker may have become free. */
    void handleCapacityFreed(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            admitWaiting(queue);
        }
    }

    /**
     * Goes on after the answer of a steward. One request of a queue asks at a time, so that the order is kept and a full
     * service costs few messages.
     */
    void handleReservationResult(String service, boolean granted) {
        ServiceQueue queue = queues.get(service);
        synchronized (queue) {
            queue.reservationPending = false;
            queue.consecutiveRejections = granted ? 0 : queue.consecutiveRejections + 1;
            if (queue.consecutiveRejections > MAX_CONSECUTIVE_REJECTIONS) {
                queue.consecutiveRejections = 0;
                schedulePoll(queue);
                return;
            }
        }
        admitWaiting(queue);
    }

    private void admitWaiting(ServiceQueue queue) {
        synchronized (queue) {
            admitNext(queue);
            boolean punctual = queue.waiting.hasOnTime(clockMillis.getAsLong());
            if (punctual == queue.reportedOnTime) {
                return;
            }
            queue.reportedOnTime = punctual;
        }
        onChange.run();
    }

    private void admitNext(ServiceQueue queue) {
        synchronized (queue) {
            while (!queue.reservationPending) {
                long now = clockMillis.getAsLong();
                Optional<WaitingRoom.Seat<WaitingRequest>> next = queue.waiting.peek(now);
                if (next.isEmpty()) {
                    return;
                }
                if (next.get().isOverdue(now) && onTimeElsewhere.test(queue.service)) {
                    schedulePoll(queue);
                    return;
                }
                WaitingRequest request = next.get().request();
                // Set before the try, since the answer may come before it returns.
                queue.reservationPending = true;
                Outcome outcome = request.isDone() ? Outcome.ADMITTED : request.tryAdmit();
                if (outcome == Outcome.PENDING) {
                    return;
                }
                queue.reservationPending = false;
                if (outcome == Outcome.NO_CAPACITY) {
                    schedulePoll(queue);
                    return;
                }
                queue.waiting.remove(next.get());
            }
        }
    }

    private void schedulePoll(ServiceQueue queue) {
        if (!queue.pollScheduled) {
            queue.pollScheduled = true;
            long pause = 1 + (long) (MAX_POLL_MILLIS * random.getAsDouble());
            timers.schedule(() -> poll(queue), pause, TimeUnit.MILLISECONDS);
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
        private final WaitingRoom<WaitingRequest> waiting = new WaitingRoom<>();
        private boolean reportedOnTime;
        private boolean pollScheduled;
        private boolean reservationPending;
        private int consecutiveRejections;

        ServiceQueue(String service) {
            this.service = service;
        }
    }
}
