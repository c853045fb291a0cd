package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events without changing a byte, and remembers the id of the last one.
 *
 * <p>Not thread-safe.
 */
public final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream open = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Optional<String> openId = Optional.empty();
    private Optional<String> lastId = Optional.empty();

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the whole events that they complete; empty when there is none
     */
    public byte[] feed(byte[] bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (byte b : bytes) {
            open.write(b);
            if (b != '\n') {
                line.write(b);
                continue;
            }
            if (takeLine()) {
                whole.writeBytes(open.toByteArray());
                open.reset();
            }
        }
        return whole.toByteArray();
    }

    /**
     * Says whether the stream stands within an event.
     *
     * @return true when bytes wait for the end of their event
     */
    public boolean hasPartialEvent() {
        return open.size() > 0;
    }

    /** Drops the bytes of an event that will not be completed. */
    public void discardPartialEvent() {
        open.reset();
        line.reset();
        openId = Optional.empty();
    }

    /**
     * Gets the id of the last whole event that has one.
     *
     * @return the id; empty when there was none yet
     */
    public Optional<String> findLastId() {
        return lastId;
    }

    private boolean takeLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            lastId = openId.or(() -> lastId);
            openId = Optional.empty();
            return true;
        }
        if (text.startsWith(ID_FIELD)) {
            openId = Optional.of(text.substring(ID_FIELD.length()).strip());
        }
        return false;
    }
}
