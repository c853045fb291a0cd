package org.magnoliavane.http;

import java.util.Optional;

/**
 * Represents a server-sent event.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the event id, or empty if the event has none
 * @param event the event type; {@code message} if the event does not specify one
 * @param data the data lines, joined by line feeds
 */
public record ServerSentEvent(Optional<String> id, String event, String data) {}
