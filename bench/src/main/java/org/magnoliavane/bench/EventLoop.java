package org.magnoliavane.bench;

import java.util.PriorityQueue;

/**
 * Runs scheduled actions in the order of a virtual clock. Actions that are scheduled for the same time run in the order
 * in which they were scheduled. Not thread-safe.
 */
final class EventLoop {
    private record Event(long micros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(micros, other.micros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long nextSequence;

    /** Gets the virtual time in microseconds. */
    long getNowMicros() {
        return nowMicros;
    }

    /** Schedules an action at a time in microseconds, or at the current time if that is later. */
    void scheduleAt(long micros, Runnable action) {
        events.add(new Event(Math.max(nowMicros, micros), nextSequence++, action));
    }

    void scheduleAfter(long delayMicros, Runnable action) {
        scheduleAt(nowMicros + delayMicros, action);
    }

    /** Runs actions, including those that they schedule, until none is left. */
    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMicros = event.micros;
            event.action.run();
        }
    }
}
