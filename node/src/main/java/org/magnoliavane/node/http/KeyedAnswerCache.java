package org.magnoliavane.node.http;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.magnoliavane.node.dispatch.FinishedAnswer;
import org.magnoliavane.node.dispatch.ModelRun;

/**
 * Holds the model requests of this node that have an idempotency key: the active ones, and for 60 s the answers of those
 * that have finished, up to a limit on memory.
 *
 * <p>Thread-safe.
 */
final class KeyedAnswerCache {
    private static final long RETENTION_NANOS = 60_000_000_000L;
    private static final long MAX_BYTES = 32L * 1024 * 1024;

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final Queue<Entry> finished = new ConcurrentLinkedQueue<>();
    private final AtomicLong answerBytes = new AtomicLong();

    /** Finds or adds the entry of a key. The entry is new when it has the given request id. */
    Entry findOrAdd(String caller, String key, String request, byte[] body) {
        evictFinished();
        String cacheKey = caller + "\n" + key;
        return entries.computeIfAbsent(cacheKey, n -> new Entry(n, request, Arrays.hashCode(body), body.length));
    }

    /** Sets the run of a new entry. */
    void setRun(Entry entry, ModelRun run) {
        entry.run.complete(run);
        run.getOutcome().thenAccept(answer -> onFinished(entry, answer));
    }

    /** Removes an entry whose request was refused before it was executed. */
    void remove(Entry entry) {
        entries.remove(entry.cacheKey, entry);
        entry.run.cancel(false);
    }

    private void onFinished(Entry entry, Optional<FinishedAnswer> answer) {
        if (answer.isEmpty()) {
            entries.remove(entry.cacheKey, entry);
            return;
        }
        entry.answer = answer;
        entry.finishedNanos = System.nanoTime();
        answerBytes.addAndGet(answer.get().estimateBytes());
        finished.add(entry);
        evictFinished();
    }

    void evictFinished() {
        Entry oldest = finished.peek();
        while (oldest != null && (oldest.isExpired() || answerBytes.get() > MAX_BYTES)) {
            if (finished.remove(oldest)) {
                answerBytes.addAndGet(
                        -oldest.answer.map(FinishedAnswer::estimateBytes).orElse(0L));
                entries.remove(oldest.cacheKey, oldest);
            }
            oldest = finished.peek();
        }
    }

    /** Holds the run and the answer of one key. */
    static final class Entry {
        private final String cacheKey;
        private final String request;
        private final int bodyHash;
        private final int bodyLength;
        private final CompletableFuture<ModelRun> run = new CompletableFuture<>();
        private volatile Optional<FinishedAnswer> answer = Optional.empty();
        private volatile long finishedNanos;

        private Entry(String cacheKey, String request, int bodyHash, int bodyLength) {
            this.cacheKey = cacheKey;
            this.request = request;
            this.bodyHash = bodyHash;
            this.bodyLength = bodyLength;
        }

        String getRequest() {
            return request;
        }

        boolean hasBody(byte[] body) {
            return body.length == bodyLength && Arrays.hashCode(body) == bodyHash;
        }

        Optional<FinishedAnswer> findAnswer() {
            return answer;
        }

        CompletableFuture<ModelRun> getRun() {
            return run;
        }

        private boolean isExpired() {
            return System.nanoTime() - finishedNanos > RETENTION_NANOS;
        }
    }
}
