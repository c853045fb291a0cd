package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Cuts a byte stream into server-sent events. Comment lines are dropped.
 *
 * <p>Not thread-safe.
 */
public final class ServerSentEventParser {
    private final Consumer<ServerSentEvent> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private Optional<String> id = Optional.empty();
    private String event = "message";
    private boolean hasData;

    /**
     * Creates a parser.
     *
     * @param events receives each complete event
     */
    public ServerSentEventParser(Consumer<ServerSentEvent> events) {
        this.events = events;
    }

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes the bytes
     */
    public void feed(byte[] bytes) {
        for (byte b : bytes) {
            if (b == '\n') {
                takeLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (b != '\r') {
                line.write(b);
            }
        }
    }

    private void takeLine(String text) {
        if (text.isEmpty()) {
            dispatch();
            return;
        }
        int colon = text.indexOf(':');
        if (colon == 0) {
            return;
        }
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        takeField(field, value.startsWith(" ") ? value.substring(1) : value);
    }

    private void takeField(String field, String value) {
        switch (field) {
            case "id":
                id = Optional.of(value);
                break;
            case "event":
                event = value;
                break;
            case "data":
                if (hasData) {
                    data.append('\n');
                }
                data.append(value);
                hasData = true;
                break;
            default:
                break;
        }
    }

    private void dispatch() {
        if (hasData) {
            events.accept(new ServerSentEvent(id, event, data.toString()));
        }
        id = Optional.empty();
        event = "message";
        data.setLength(0);
        hasData = false;
    }
}
