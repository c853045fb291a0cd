package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a byte stream of server-sent events at event boundaries without changing a byte.
 *
 * <p>Not thread-safe.
 */
public final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Optional<String> partialEventId = Optional.empty();
    private boolean onlyComments = true;

    /**
     * A complete event.
     *
     * @param bytes the bytes of the event as they were received, including the empty line at its end
     * @param id the id; empty if the event has none
     * @param comment whether the event has only comments or nothing, such as those that keep a connection open
     */
    public record Event(byte[] bytes, Optional<String> id, boolean comment) {}

    /**
     * Appends the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the events that are now complete, in order; empty if there are none
     */
    public List<Event> feed(byte[] bytes) {
        List<Event> complete = new ArrayList<>();
        // Writes whole lines: a write of a single byte takes the lock of its buffer.
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '\n') {
                continue;
            }
            partialEvent.write(bytes, start, i + 1 - start);
            line.write(bytes, start, i - start);
            start = i + 1;
            if (processLine()) {
                complete.add(new Event(partialEvent.toByteArray(), partialEventId, onlyComments));
                partialEvent.reset();
                partialEventId = Optional.empty();
                onlyComments = true;
            }
        }
        partialEvent.write(bytes, start, bytes.length - start);
        line.write(bytes, start, bytes.length - start);
        return complete;
    }

    /**
     * Returns whether bytes of an incomplete event are buffered.
     *
     * @return true if the stream is within an event
     */
    public boolean hasPartialEvent() {
        return partialEvent.size() > 0;
    }

    /**
     * Gets the size of the incomplete event.
     *
     * @return the number of buffered bytes
     */
    public int getPartialBytes() {
        return partialEvent.size();
    }

    /** Returns whether the line that has just ended is the empty line at the end of an event. */
    private boolean processLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.startsWith(ID_FIELD)) {
            partialEventId = Optional.of(text.substring(ID_FIELD.length()).strip());
        }
        onlyComments &= text.isEmpty() || text.startsWith(":");
        return text.isEmpty();
    }
}
