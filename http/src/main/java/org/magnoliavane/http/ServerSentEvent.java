package org.magnoliavane.http;

import java.util.Optional;

/**
 * Holds one server-sent event.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the event id; empty when the event has none
 * @param event the event type; {@code message} when the event names none
 * @param data the data lines, joined by line feeds
 */
public record ServerSentEvent(Optional<String> id, String event, String data) {}
