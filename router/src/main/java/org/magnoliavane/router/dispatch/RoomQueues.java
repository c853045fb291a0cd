package org.magnoliavane.router.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import org.magnoliavane.balance.WaitingRoom;

/**
 * Holds the requests of this node that wait for room at the workers of a service, and places them one at a time in the
 * order of {@link WaitingRoom}.
 *
 * <p>Thread-safe.
 */
public final class RoomQueues {
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

    /**
     * Creates empty queues.
     *
     * @param timers runs the looks for room
     * @param millis a monotonic clock in milliseconds
     * @param random gives numbers from 0 to 1
     */
    public RoomQueues(ScheduledExecutorService timers, LongSupplier millis, DoubleSupplier random) {
        this.timers = timers;
        this.millis = millis;
        this.random = random;
    }

    void enqueue(String service, Waiting request, long arrivalMillis, long startByMillis) {
        Queue queue = queues.computeIfAbsent(service, s -> new Queue());
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
            while (!queue.asking) {
                Optional<WaitingRoom.Seat<Waiting>> next = queue.room.peek(millis.getAsLong());
                if (next.isEmpty()) {
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
        private final WaitingRoom<Waiting> room = new WaitingRoom<>();
        private boolean lookPending;
        private boolean asking;
        private int denials;
    }
}
