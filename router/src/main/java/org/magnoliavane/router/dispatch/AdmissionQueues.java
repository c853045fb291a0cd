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

/**
 * Holds the requests of this node that wait for room at the workers of a service, and places them one at a time in the
 * order of {@link AdmissionQueue}. Requests that are late also leave the room to the punctual ones of other nodes: room that a
 * late answer takes for seconds would make others late in turn.
 *
 * <p>Thread-safe.
 */
public final class AdmissionQueues {
    /** Longest pause between two looks for room; nodes look at different times, so that they do not all take the same. */
    private static final double MAX_LOOK_MILLIS = 30;

    /** Number of denials in a row after which the next look is a pause away. */
    private static final int MAX_DENIALS = 2;

    /** What became of a try to place a request. */
    enum Outcome {
        /** The request has its room. */
        PLACED,
        /** There is no room. */
        NO_ROOM,
        /** A steward is asked for room; {@link #answered} tells the outcome. */
        ASKED
    }

    /** A request that waits for room. */
    interface Waiting {
        /** Takes room, if there is any. */
        Outcome tryPlace();

        /** Says whether the request no longer waits. */
        boolean isOver();
    }

    private final Map<String, Queue> queues = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timers;
    private final LongSupplier millis;
    private final DoubleSupplier random;
    private final Predicate<String> punctualElsewhere;
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
    public AdmissionQueues(
            ScheduledExecutorService timers,
            LongSupplier millis,
            DoubleSupplier random,
            Predicate<String> punctualElsewhere,
            Runnable onChange) {
        this.timers = timers;
        this.millis = millis;
        this.random = random;
        this.punctualElsewhere = punctualElsewhere;
        this.onChange = onChange;
    }

    /**
     * Gets the services for which requests wait here that can still be on time.
     *
     * @return the names of the services
     */
    public List<String> getServicesWithOnTimeRequests() {
        return queues.values().stream()
                .filter(this::hasPunctual)
                .map(q -> q.service)
                .toList();
    }

    private boolean hasPunctual(Queue queue) {
        synchronized (queue) {
            return queue.room.hasPunctual(millis.getAsLong());
        }
    }

    void enqueue(String service, Waiting request, long arrivalMillis, long startByMillis) {
        Queue queue = queues.computeIfAbsent(service, Queue::new);
        synchronized (queue) {
            queue.room.add(request, arrivalMillis, startByMillis);
        }
        pump(queue);
    }

    /** Places what has room now; called when a worker may have become free. */
    void roomFreed(String service) {
        Queue queue = queues.get(service);
        if (queue != null) {
            pump(queue);
        }
    }

    /**
     * Goes on after the answer of a steward. One request of a queue asks at a time, so that the order is kept and a full
     * service costs few messages.
     */
    void answered(String service, boolean granted) {
        Queue queue = queues.get(service);
        synchronized (queue) {
            queue.asking = false;
            queue.denials = granted ? 0 : queue.denials + 1;
            if (queue.denials > MAX_DENIALS) {
                queue.denials = 0;
                lookLater(queue);
                return;
            }
        }
        pump(queue);
    }

    private void pump(Queue queue) {
        synchronized (queue) {
            placeNext(queue);
            boolean punctual = queue.room.hasPunctual(millis.getAsLong());
            if (punctual == queue.toldPunctual) {
                return;
            }
            queue.toldPunctual = punctual;
        }
        onChange.run();
    }

    private void placeNext(Queue queue) {
        synchronized (queue) {
            while (!queue.asking) {
                long now = millis.getAsLong();
                Optional<AdmissionQueue.Entry<Waiting>> next = queue.room.peek(now);
                if (next.isEmpty()) {
                    return;
                }
                if (next.get().isLate(now) && punctualElsewhere.test(queue.service)) {
                    lookLater(queue);
                    return;
                }
                Waiting request = next.get().request();
                // Set before the try, since the answer may come before it returns.
                queue.asking = true;
                Outcome outcome = request.isOver() ? Outcome.PLACED : request.tryPlace();
                if (outcome == Outcome.ASKED) {
                    return;
                }
                queue.asking = false;
                if (outcome == Outcome.NO_ROOM) {
                    lookLater(queue);
                    return;
                }
                queue.room.remove(next.get());
            }
        }
    }

    private void lookLater(Queue queue) {
        if (!queue.lookPending) {
            queue.lookPending = true;
            long pause = 1 + (long) (MAX_LOOK_MILLIS * random.getAsDouble());
            timers.schedule(() -> lookAgain(queue), pause, TimeUnit.MILLISECONDS);
        }
    }

    private void lookAgain(Queue queue) {
        synchronized (queue) {
            queue.lookPending = false;
        }
        pump(queue);
    }

    private static final class Queue {
        private final String service;
        private final AdmissionQueue<Waiting> room = new AdmissionQueue<>();
        private boolean toldPunctual;
        private boolean lookPending;
        private boolean asking;
        private int denials;

        Queue(String service) {
            this.service = service;
        }
    }
}
