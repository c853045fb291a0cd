package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a byte stream of server-sent events at event boundaries without changing a byte, and tracks the id of the last
 * complete event.
 *
 * <p>Not thread-safe.
 */
public final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Optional<String> partialEventId = Optional.empty();
    private Optional<String> lastId = Optional.empty();

    /**
     * Appends the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the bytes of all events that are now complete; empty if there are none
     */
    public byte[] feed(byte[] bytes) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        for (byte b : bytes) {
            partialEvent.write(b);
            if (b != '\n') {
                line.write(b);
                continue;
            }
            if (processLine()) {
                complete.writeBytes(partialEvent.toByteArray());
                partialEvent.reset();
            }
        }
        return complete.toByteArray();
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

    /** Discards the buffered bytes of an event that will not be completed. */
    public void discardPartialEvent() {
        partialEvent.reset();
        line.reset();
        partialEventId = Optional.empty();
    }

    /**
     * Finds the id of the last complete event that has one.
     *
     * @return the id, or empty if no complete event had one
     */
    public Optional<String> findLastId() {
        return lastId;
    }

    private boolean processLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            lastId = partialEventId.or(() -> lastId);
            partialEventId = Optional.empty();
            return true;
        }
        if (text.startsWith(ID_FIELD)) {
            partialEventId = Optional.of(text.substring(ID_FIELD.length()).strip());
        }
        return false;
    }
}
