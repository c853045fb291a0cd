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
 * Remembers the model requests of this node that carry an idempotency key: those that run, and those that were answered
 * a short time ago.
 *
 * <p>Thread-safe.
 */
final class KeyedAnswers {
    private static final long KEEP_NANOS = 60_000_000_000L;
    private static final long MAX_BYTES = 32L * 1024 * 1024;

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final Queue<Entry> finished = new ConcurrentLinkedQueue<>();
    private final AtomicLong bytes = new AtomicLong();

    /** Finds the entry of a key, or makes one; it is new when its request is the one given. */
    Entry claim(String caller, String key, String request, byte[] body) {
        prune();
        String name = caller + "\n" + key;
        return entries.computeIfAbsent(name, n -> new Entry(n, request, Arrays.hashCode(body), body.length));
    }

    /** Connects a new entry with its run. */
    void start(Entry entry, ModelRun run) {
        entry.run.complete(run);
        run.getOutcome().thenAccept(answer -> take(entry, answer));
    }

    /** Forgets an entry whose request was refused before it ran. */
    void remove(Entry entry) {
        entries.remove(entry.name, entry);
        entry.run.cancel(false);
    }

    private void take(Entry entry, Optional<FinishedAnswer> answer) {
        if (answer.isEmpty()) {
            entries.remove(entry.name, entry);
            return;
        }
        entry.answer = answer;
        entry.finishedNanos = System.nanoTime();
        bytes.addAndGet(answer.get().estimateBytes());
        finished.add(entry);
        prune();
    }

    void prune() {
        Entry oldest = finished.peek();
        while (oldest != null && (oldest.isOld() || bytes.get() > MAX_BYTES)) {
            if (finished.remove(oldest)) {
                bytes.addAndGet(
                        -oldest.answer.map(FinishedAnswer::estimateBytes).orElse(0L));
                entries.remove(oldest.name, oldest);
            }
            oldest = finished.peek();
        }
    }

    /** One key. */
    static final class Entry {
        private final String name;
        private final String request;
        private final int bodyHash;
        private final int bodyLength;
        private final CompletableFuture<ModelRun> run = new CompletableFuture<>();
        private volatile Optional<FinishedAnswer> answer = Optional.empty();
        private volatile long finishedNanos;

        private Entry(String name, String request, int bodyHash, int bodyLength) {
            this.name = name;
            this.request = request;
            this.bodyHash = bodyHash;
            this.bodyLength = bodyLength;
        }

        String getRequest() {
            return request;
        }

        boolean isFor(byte[] body) {
            return body.length == bodyLength && Arrays.hashCode(body) == bodyHash;
        }

        Optional<FinishedAnswer> findAnswer() {
            return answer;
        }

        CompletableFuture<ModelRun> getRun() {
            return run;
        }

        private boolean isOld() {
            return System.nanoTime() - finishedNanos > KEEP_NANOS;
        }
    }
}
