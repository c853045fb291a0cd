package org.magnoliavane.emulator.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Publishes the changes of the prefix cache with a delay and drops a share of them. A dropped event leaves a gap in the
 * sequence numbers.
 *
 * <p>Not thread-safe.
 */
final class CacheEvents {
    static final String STORED = "stored";
    static final String EVICTED = "evicted";

    private static final int MAX_EVENTS = 10_000;

    private final SplittableRandom random;
    private final Deque<DelayedEvent> events = new ArrayDeque<>();
    private long delayMicros;
    private double dropShare;
    private long lastSequence;

    CacheEvents(long seed, long delayMicros, double dropShare) {
        this.random = new SplittableRandom(seed);
        this.delayMicros = delayMicros;
        this.dropShare = dropShare;
    }

    void setDropShare(double share) {
        dropShare = share;
    }

    void setDelayMicros(long micros) {
        delayMicros = micros;
    }

    void add(String kind, long hash, long nowMicros) {
        lastSequence++;
        if (random.nextDouble() < dropShare) {
            return;
        }
        events.addLast(
                new DelayedEvent(nowMicros + delayMicros, new Event(lastSequence, kind, String.format("%016x", hash))));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    Page getAfter(long sequence, long nowMicros) {
        return new Page(events.stream()
                .filter(delayed -> delayed.event.seq() > sequence && delayed.visibleMicros <= nowMicros)
                .map(DelayedEvent::event)
                .toList());
    }

    /** Response to {@code GET /v1/cache-events}. */
    record Page(List<Event> events) {}

    /** Change of the cache; the prefix is a hash in hexadecimal. */
    record Event(long seq, String kind, String prefix) {}

    private record DelayedEvent(long visibleMicros, Event event) {}
}
