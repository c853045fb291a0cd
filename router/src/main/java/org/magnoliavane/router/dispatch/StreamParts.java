package org.magnoliavane.router.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks and relays what the decode workers of a request write of its stream: one part for each exchange that has a head.
 *
 * <p>Not thread-safe; called on the executor of the request.
 */
final class StreamParts {
    /** Number of output tokens from which the duration of a stream shows the speed of its worker. */
    private static final int MIN_MEASURED_TOKENS = 10;

    /** Largest event or error response of a worker. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Memory that a byte of an incomplete event takes: it is kept as part of its line as well, and buffers grow by doubling. */
    private static final int PARTIAL_EVENT_FACTOR = 3;

    private final RequestScope scope;
    private final DispatchContext context;
    private final GenerationSize generationSize;
    private final RelayedStream stream;
    private final Map<WorkerExchange, StreamPart> parts = new HashMap<>();
    private boolean progressRecorded;

    StreamParts(RequestScope scope, GenerationSize generationSize, RelayedStream stream) {
        this.scope = scope;
        this.context = scope.context();
        this.generationSize = generationSize;
        this.stream = stream;
    }

    /**
     * Adds the part of a worker.
     *
     * @param only whether there is no other exchange
     * @return false if the response cannot begin or continue the stream
     */
    boolean tryAdd(WorkerExchange exchange, int status, Map<String, String> headers, boolean only) {
        boolean usable =
                stream.hasStarted() ? stream.getResponse().isContinuation(status, headers) : only || status == 200;
        if (!usable) {
            return false;
        }
        boolean continues = scope.request().route().resumable()
                && exchange.getWorkerRequest().lastEventId().isPresent();
        StreamPart part = new StreamPart(status, headers, stream.getPosition(), continues);
        parts.put(exchange, part);
        if (only) {
            stream.getResponse().setHead(part);
        }
        return true;
    }

    StreamPart get(WorkerExchange exchange) {
        return parts.get(exchange);
    }

    void remove(WorkerExchange exchange) {
        parts.remove(exchange);
    }

    void clear() {
        parts.clear();
    }

    /** Gets the memory of incomplete events, of an error response and of what the caller has not read, in bytes. */
    long getBufferedBytes() {
        long partial =
                parts.values().stream().mapToLong(StreamPart::getBufferedBytes).sum();
        return PARTIAL_EVENT_FACTOR * partial
                + stream.getResponse().getErrorBytes()
                + stream.getResponse().getUnreadBytes();
    }

    /**
     * Collects the next bytes of a worker.
     *
     * @return the bytes of the events that are now complete and follow the last one; empty if there are none
     */
    byte[] collect(WorkerExchange exchange, byte[] bytes) {
        StreamPart part = parts.get(exchange);
        if (part.isError()) {
            stream.getResponse().collectError(bytes);
            return new byte[0];
        }
        return part.feed(bytes);
    }

    /** Sends complete events of a worker to the caller. */
    void relayEvents(WorkerExchange exchange, byte[] events) {
        boolean started = stream.hasStarted();
        stream.getResponse().setHead(parts.get(exchange));
        stream.relayEvents(events);
        if (!progressRecorded && exchange.isPastBeginning()) {
            progressRecorded = true;
            context.poisonGuard().recordProgress(scope.features());
        }
        if (!started) {
            scope.log("first_event", exchange, "millis=" + exchange.getAgeMillis());
            context.metrics()
                    .histogram("streams.first_event_millis")
                    .update(scope.now() - scope.request().arrivalMillis());
        }
    }

    /**
     * Finds the reason for which a worker must not go on.
     *
     * @return the reason; empty if there is none
     */
    Optional<String> findFault(StreamPart part) {
        if (part.isFaulty()) {
            return Optional.of("an event does not continue the stream");
        }
        return part.getBufferedBytes() + stream.getResponse().getErrorBytes() > MAX_EVENT_BYTES
                ? Optional.of("an event is larger than " + MAX_EVENT_BYTES + " bytes")
                : Optional.empty();
    }

    /**
     * Returns whether a stream that seems to have ended was broken off: within an event, or before its first one. Only the rest
     * of a stream that its caller resumes may be empty.
     */
    boolean isBrokenOff(WorkerExchange exchange) {
        StreamPart part = parts.get(exchange);
        if (part.isError()) {
            return false;
        }
        if (part.hasPartialEvent() || part.hasEvents()) {
            return part.hasPartialEvent();
        }
        return !stream.isResumedByCaller() || !StreamResponse.mayBeEmptyRest(part) || !exchange.isDelimited();
    }

    /**
     * Records that a worker has written the rest of a stream, and its speed if it has written all of it.
     *
     * @param onlyExecution whether no other worker may have run the request
     */
    void recordDecoded(WorkerExchange exchange, boolean onlyExecution) {
        context.poisonGuard().recordAnswer(scope.features());
        int tokens = generationSize.expectedOutputTokens() - 1;
        boolean whole =
                onlyExecution && exchange.getWorkerRequest().lastEventId().isEmpty();
        if (whole && tokens >= MIN_MEASURED_TOKENS) {
            long millis = Math.min(exchange.getBodyMillis(), stream.getEventsMillis());
            context.loadTracker()
                    .getSpeeds()
                    .recordDecode(scope.service(), exchange.getWorker().id(), tokens, millis, scope.now());
        }
    }
}
