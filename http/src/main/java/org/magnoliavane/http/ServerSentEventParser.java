package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Parses a byte stream into server-sent events. Comment lines are ignored.
 *
 * <p>Not thread-safe.
 */
public final class ServerSentEventParser {
    private final Consumer<ServerSentEvent> eventConsumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private Optional<String> id = Optional.empty();
    private String event = "message";
    private boolean hasData;

    /**
     * Creates a parser.
     *
     * @param eventConsumer receives each complete event
     */
    public ServerSentEventParser(Consumer<ServerSentEvent> eventConsumer) {
        this.eventConsumer = eventConsumer;
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes the bytes
     */
    public void feed(byte[] bytes) {
        for (byte b : bytes) {
            if (b == '\n') {
                processLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (b != '\r') {
                line.write(b);
            }
        }
    }

    private void processLine(String text) {
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
        processField(field, value.startsWith(" ") ? value.substring(1) : value);
    }

    private void processField(String field, String value) {
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
            eventConsumer.accept(new ServerSentEvent(id, event, data.toString()));
        }
        id = Optional.empty();
        event = "message";
        data.setLength(0);
        hasData = false;
    }
}
