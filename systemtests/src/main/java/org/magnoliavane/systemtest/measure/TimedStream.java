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
 * Notes when the tokens of one stream arrive, whether a node or an engine sends it. A stream that is refused or breaks
 * counts as incomplete and leaves the times of the tokens that arrived.
 *
 * <p>Thread-safe.
 */
final class TimedStream implements ResponseListener {
    private final ServerSentEventParser parser = new ServerSentEventParser(this::take);
    private final CompletableFuture<Integer> tokens = new CompletableFuture<>();
    private final Times times;
    private final long start;
    private long last;
    private int status;
    private int count;
    private boolean done;
    private HttpExchange exchange;

    private TimedStream(Times times, long startNanos) {
        this.times = times;
        this.start = startNanos;
    }

    /** Sends a request; times count from the given start. */
    static TimedStream send(HttpClient client, HttpRequest request, Times times, long startNanos) {
        TimedStream stream = new TimedStream(times, startNanos);
        stream.exchange = client.stream(request, stream);
        return stream;
    }

    /** Gets the number of tokens of the complete answer; -1 when it was not complete. */
    CompletableFuture<Integer> getTokens() {
        return tokens;
    }

    synchronized int countTokens() {
        return count;
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
        tokens.complete(done ? count : -1);
    }

    @Override
    public void onFailure(IOException cause) {
        tokens.complete(-1);
    }

    private void take(ServerSentEvent event) {
        if (event.data().equals("[DONE]") || event.event().equals("done")) {
            done = true;
            return;
        }
        if (!event.data().contains("\" w")) {
            return;
        }
        long now = System.nanoTime();
        if (count == 0) {
            times.first().recordValue(TimeUnit.NANOSECONDS.toMicros(now - start));
        } else {
            times.between().recordValue(TimeUnit.NANOSECONDS.toMicros(now - last));
        }
        last = now;
        count++;
    }

    /** Times in microseconds: to the first token, and between tokens. */
    record Times(Histogram first, Histogram between) {
        static Times create() {
            return new Times(newHistogram(), newHistogram());
        }

        static Histogram newHistogram() {
            return new org.HdrHistogram.SynchronizedHistogram(3);
        }
    }
}
