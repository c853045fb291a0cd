package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.http.ServerSentEvent;
import org.magnoliavane.http.ServerSentEventParser;

/**
 * Records the arrival times of the tokens of one stream from a node or an engine. A stream that is rejected or
 * interrupted counts as incomplete; the times of the tokens that arrived stay recorded.
 *
 * <p>Thread-safe.
 */
final class TimedStream implements ResponseListener {
    private final ServerSentEventParser parser = new ServerSentEventParser(this::handleEvent);
    private final CompletableFuture<Integer> completion = new CompletableFuture<>();
    private final Times times;
    private final long startNanos;
    private long lastTokenNanos;
    private int status;
    private int tokenCount;
    private boolean done;
    private HttpExchange exchange;

    private TimedStream(Times times, long startNanos) {
        this.times = times;
        this.startNanos = startNanos;
    }

    /** Sends a request. The time to the first token is measured from the given start. */
    static TimedStream send(HttpClient client, HttpRequest request, Times times, long startNanos) {
        TimedStream stream = new TimedStream(times, startNanos);
        stream.exchange = client.stream(request, stream);
        return stream;
    }

    /** Gets the future number of tokens of the answer, -1 when it ends incomplete. */
    CompletableFuture<Integer> getCompletion() {
        return completion;
    }

    synchronized int getReceivedTokenCount() {
        return tokenCount;
    }

    void close() {
        exchange.close();
    }

    @Override
    public synchronized void onHead(int responseStatus, Map<String, String> headers) {
        status = responseStatus;
    }

    @Override
    public synchronized void onBytes(byte[] bytes) {
        if (status == 200) {
            parser.feed(bytes);
        }
    }

    @Override
    public synchronized void onEnd() {
        completion.complete(done ? tokenCount : -1);
    }

    @Override
    public void onFailure(IOException cause) {
        completion.complete(-1);
    }

    private void handleEvent(ServerSentEvent event) {
        if (event.data().equals("[DONE]") || event.event().equals("done")) {
            done = true;
            return;
        }
        if (!event.data().contains("\" w")) {
            return;
        }
        long now = System.nanoTime();
        if (tokenCount == 0) {
            times.timeToFirstToken().recordValue(TimeUnit.NANOSECONDS.toMicros(now - startNanos));
        } else {
            times.timeBetweenTokens().recordValue(TimeUnit.NANOSECONDS.toMicros(now - lastTokenNanos));
        }
        lastTokenNanos = now;
        tokenCount++;
    }

    /** Holds the histograms of the time to the first token and of the time between tokens, in microseconds. */
    record Times(Histogram timeToFirstToken, Histogram timeBetweenTokens) {
        static Times create() {
            return new Times(newHistogram(), newHistogram());
        }

        static Histogram newHistogram() {
            return new org.HdrHistogram.SynchronizedHistogram(3);
        }
    }
}
