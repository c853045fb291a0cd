package org.magnoliavane.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.magnoliavane.config.ModelSettings;

/**
 * Models a prefill engine: one prompt at a time, a queue, and a cache of prompt prefixes that drops the least recently
 * used piece. Not thread-safe.
 */
final class PrefillEngine {
    final String id;
    final String zone;
    boolean alive = true;
    boolean linkBusy;
    long stalledUntilMicros;

    private final EventLoop loop;
    private final ModelSettings settings;
    private final int cachePieces;
    private final Consumer<Attempt> done;
    private final Deque<Attempt> queue = new ArrayDeque<>();
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private Attempt running;
    private long workedMicros;

    PrefillEngine(
            String id, String zone, EventLoop loop, ModelSettings settings, int cachePieces, Consumer<Attempt> done) {
        this.id = id;
        this.zone = zone;
        this.loop = loop;
        this.settings = settings;
        this.cachePieces = cachePieces;
        this.done = done;
    }

    void enqueue(Attempt attempt) {
        attempt.state = Attempt.State.PREFILL_QUEUED;
        queue.addLast(attempt);
        next();
    }

    /** Drops a queued attempt, or stops it when it is running. */
    void cancel(Attempt attempt) {
        queue.remove(attempt);
        if (running == attempt) {
            attempt.prefillMicros = loop.now() - attempt.prefillStartMicros;
            workedMicros += attempt.prefillMicros;
            running = null;
            next();
        }
    }

    /** Fails the engine and returns what it held. */
    List<Attempt> crash() {
        alive = false;
        List<Attempt> lost = new ArrayList<>(queue);
        if (running != null) {
            lost.add(0, running);
            cancel(running);
        }
        queue.clear();
        cache.clear();
        return lost;
    }

    int queuedTokens() {
        int sum = running == null ? 0 : running.job.promptTokens();
        for (Attempt each : queue) {
            sum += each.job.promptTokens();
        }
        return sum;
    }

    List<String> attempts() {
        List<String> ids = new ArrayList<>();
        if (running != null) {
            ids.add(running.id);
        }
        queue.forEach(each -> ids.add(each.id));
        return ids;
    }

    long workedMicros() {
        return workedMicros;
    }

    private void next() {
        if (running != null || queue.isEmpty() || !alive) {
            return;
        }
        Attempt attempt = queue.removeFirst();
        running = attempt;
        attempt.state = Attempt.State.PREFILLING;
        attempt.prefillStartMicros = loop.now();
        attempt.cachedTokens = Math.min(attempt.job.promptTokens(), cachedPieces(attempt.job) * settings.pieceTokens());
        long duration = EngineTimes.prefill(settings, attempt.job.promptTokens() - attempt.cachedTokens);
        loop.after(duration, () -> finish(attempt, duration));
    }

    private void finish(Attempt attempt, long duration) {
        if (running != attempt) {
            return;
        }
        running = null;
        workedMicros += duration;
        attempt.prefillMicros = duration;
        attempt.state = Attempt.State.PREFILLED;
        store(attempt.job);
        done.accept(attempt);
        next();
    }

    private int cachedPieces(Job job) {
        int count = 0;
        for (Long each : job.prefixHashes()) {
            if (cache.get(each) == null) {
                return count;
            }
            count++;
        }
        return count;
    }

    private void store(Job job) {
        job.prefixHashes().forEach(each -> cache.put(each, true));
        while (cache.size() > cachePieces) {
            cache.remove(cache.keySet().iterator().next());
        }
    }
}
