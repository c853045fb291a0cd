package org.magnoliavane.bench;

import java.util.PriorityQueue;

/**
 * Runs actions in order of a virtual clock; actions of the same time run in the order of their scheduling. Not
 * thread-safe.
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

    long getNowMicros() {
        return nowMicros;
    }

    void scheduleAt(long micros, Runnable action) {
        events.add(new Event(Math.max(nowMicros, micros), nextSequence++, action));
    }

    void scheduleAfter(long delayMicros, Runnable action) {
        scheduleAt(nowMicros + delayMicros, action);
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMicros = event.micros;
            event.action.run();
        }
    }
}
