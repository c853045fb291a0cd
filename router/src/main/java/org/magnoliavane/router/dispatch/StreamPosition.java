package org.magnoliavane.router.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the last event of a stream that several workers may write one after the other, and decides which event may follow it.
 *
 * <p>The ids of events are increasing numbers. Where another worker continues the stream, its first event must be the next one,
 * unless the stream has been seen to skip numbers.
 *
 * <p>Not thread-safe.
 */
final class StreamPosition {
    private Optional<String> lastId;
    private boolean known;
    private boolean skipsNumbers;

    private StreamPosition(Optional<String> lastId) {
        this.lastId = lastId;
        this.known = lastId.isPresent();
    }

    /**
     * Creates the position of a stream.
     *
     * @param lastId the id of the last event that the caller has; empty if the stream begins
     * @return the position
     */
    static StreamPosition after(Optional<String> lastId) {
        return new StreamPosition(lastId);
    }

    /** Finds the id of the last event that has one. */
    Optional<String> findLastId() {
        return lastId;
    }

    /** Returns whether the id of the last event is known, so that another worker can continue after it. */
    boolean isKnown() {
        return known;
    }

    /**
     * Moves the position to an event of the worker that writes the stream.
     *
     * @return false if the event cannot follow the last one
     */
    boolean tryAdvance(Optional<String> id) {
        OptionalLong number = parse(id);
        if (number.isEmpty()) {
            known = false;
            return true;
        }
        OptionalLong last = parse(lastId);
        if (last.isPresent() && number.getAsLong() <= last.getAsLong()) {
            return false;
        }
        skipsNumbers |= last.isPresent() && number.getAsLong() != last.getAsLong() + 1;
        moveTo(id);
        return true;
    }

    /**
     * Moves the position to an event of a worker that continues what another one has written.
     *
     * @param first whether the event is the first of that worker
     * @return false if the event cannot follow the last one
     */
    boolean tryContinue(Optional<String> id, boolean first) {
        OptionalLong number = parse(id);
        OptionalLong last = parse(lastId);
        if (number.isEmpty()) {
            return false;
        }
        if (!first || last.isEmpty()) {
            return tryAdvance(id);
        }
        long step = number.getAsLong() - last.getAsLong();
        if (skipsNumbers ? step <= 0 : step != 1) {
            return false;
        }
        moveTo(id);
        return true;
    }

    private void moveTo(Optional<String> id) {
        lastId = id;
        known = true;
    }

    private static OptionalLong parse(Optional<String> id) {
        try {
            return id.isPresent() ? OptionalLong.of(Long.parseLong(id.get())) : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
