package org.magnoliavane.systemtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.http.ServerSentEvent;
import org.magnoliavane.http.ServerSentEventParser;

/**
 * Collects the events of one streamed chat completion. A stream can be resumed over further connections.
 *
 * <p>Thread-safe.
 */
public final class ChatStream implements ResponseListener {
    private final ServerSentEventParser parser = new ServerSentEventParser(this::handleEvent);
    private final List<String> tokens;
    private final CountDownLatch ended = new CountDownLatch(1);
    private String lastEventId;
    private String finishReason;
    private String error;
    private String requestId;
    private int status;
    private boolean done;
    private HttpExchange exchange;

    private ChatStream(List<String> texts, String lastEventId) {
        this.tokens = new ArrayList<>(texts);
        this.lastEventId = lastEventId;
    }

    /**
     * Sends a request and starts to collect its stream.
     *
     * @param client the client
     * @param request the request, with its body and credentials
     * @return the stream, which receives events in the background
     */
    public static ChatStream send(HttpClient client, HttpRequest request) {
        return new ChatStream(List.of(), null).open(client, request);
    }

    /**
     * Resumes this stream over a new connection, after the last event that was received.
     *
     * @param client the client
     * @param next the request, with the same body
     * @return a new stream that starts with the tokens received so far
     */
    public synchronized ChatStream resume(HttpClient client, HttpRequest next) {
        HttpRequest withPosition = lastEventId == null ? next : next.withHeader("Last-Event-ID", lastEventId);
        return new ChatStream(tokens, lastEventId).open(client, withPosition);
    }

    private ChatStream open(HttpClient client, HttpRequest toSend) {
        exchange = client.stream(toSend, this);
        return this;
    }

    /** Closes the connection. */
    public void close() {
        exchange.close();
    }

    /**
     * Waits for the end of the connection.
     *
     * @param timeoutMillis the longest time to wait, in milliseconds
     * @return true when it has ended, false after the timeout or an interrupt
     */
    public boolean awaitEnd(long timeoutMillis) {
        try {
            return ended.await(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Waits until at least the given number of tokens has arrived.
     *
     * @param count the number of tokens
     * @param timeoutMillis the longest time to wait, in milliseconds
     * @return true when they have arrived, false after the timeout or the end of the connection
     */
    public boolean awaitTokens(int count, long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadline && ended.getCount() > 0) {
            if (getTokens().size() >= count) {
                return true;
            }
            ManagedProcess.sleep(5);
        }
        return getTokens().size() >= count;
    }

    /**
     * Gets the texts of the tokens received so far, on this and on earlier connections.
     *
     * @return the texts in the order of arrival
     */
    public synchronized List<String> getTokens() {
        return List.copyOf(tokens);
    }

    /**
     * Returns whether the answer is complete.
     *
     * @return true when {@code [DONE]} has arrived
     */
    public synchronized boolean isDone() {
        return done;
    }

    /**
     * Gets the HTTP status of the response.
     *
     * @return the status, 0 while there is no response
     */
    public synchronized int getStatus() {
        return status;
    }

    /**
     * Finds the request id that the node assigned.
     *
     * @return the id, or empty when there was no response
     */
    public synchronized Optional<String> findRequestId() {
        return Optional.ofNullable(requestId);
    }

    /**
     * Finds the id of the last event received.
     *
     * @return the id, or empty when there was none
     */
    public synchronized Optional<String> findLastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    /**
     * Finds the error of the stream or of its connection.
     *
     * @return the error event of the stream, the body of a response with a status other than 200, or the message of the
     *     connection failure; empty when there was none
     */
    public synchronized Optional<String> findError() {
        return Optional.ofNullable(error);
    }

    /**
     * Finds the finish reason.
     *
     * @return the reason, or empty when none has arrived
     */
    public synchronized Optional<String> findFinishReason() {
        return Optional.ofNullable(finishReason);
    }

    @Override
    public synchronized void onHead(int responseStatus, Map<String, String> headers) {
        status = responseStatus;
        requestId = headers.get("magnoliavane-request");
    }

    @Override
    public synchronized void onBytes(byte[] bytes) {
        if (status == 200) {
            parser.feed(bytes);
        } else {
            error = new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    @Override
    public void onEnd() {
        ended.countDown();
    }

    @Override
    public synchronized void onFailure(IOException cause) {
        error = cause.getMessage();
        ended.countDown();
    }

    private void handleEvent(ServerSentEvent event) {
        if (event.data().equals("[DONE]")) {
            done = true;
            return;
        }
        JsonNode chunk = Endpoint.parseJson(event.data().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        if (chunk.has("error")) {
            error = event.data();
            return;
        }
        event.id().ifPresent(id -> lastEventId = id);
        JsonNode choice = chunk.path("choices").path(0);
        String content = choice.path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            tokens.add(content);
        }
        if (choice.hasNonNull("finish_reason")) {
            finishReason = choice.get("finish_reason").asText();
        }
    }
}
