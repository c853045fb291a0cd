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
 * Models a prefill engine, which processes one prompt at a time, queues the others and caches prompt prefixes. The
 * cache evicts the least recently used piece. Not thread-safe.
 */
final class PrefillEngine {
    final String id;
    final String zone;
    boolean alive = true;
    boolean linkBusy;
    long stalledUntilMicros;

    private final EventLoop loop;
    private final ModelSettings settings;
    private final int cacheCapacityPieces;
    private final Consumer<Attempt> completionListener;
    private final Deque<Attempt> queue = new ArrayDeque<>();
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private Attempt running;
    private long busyMicros;

    PrefillEngine(
            String id,
            String zone,
            EventLoop loop,
            ModelSettings settings,
            int cacheCapacityPieces,
            Consumer<Attempt> completionListener) {
        this.id = id;
        this.zone = zone;
        this.loop = loop;
        this.settings = settings;
        this.cacheCapacityPieces = cacheCapacityPieces;
        this.completionListener = completionListener;
    }

    void enqueue(Attempt attempt) {
        attempt.state = Attempt.State.PREFILL_QUEUED;
        queue.addLast(attempt);
        startNext();
    }

    /** Removes an attempt from the queue, or stops it if it is running. */
    void cancel(Attempt attempt) {
        queue.remove(attempt);
        if (running == attempt) {
            attempt.prefillMicros = loop.getNowMicros() - attempt.prefillStartMicros;
            busyMicros += attempt.prefillMicros;
            running = null;
            startNext();
        }
    }

    /** Crashes the engine, clears its cache and returns the attempts that are lost, the running one first. */
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

    /** Gets the prompt tokens of the running attempt and of all queued ones. */
    int getQueuedTokens() {
        int sum = running == null ? 0 : running.job.promptTokens();
        for (Attempt each : queue) {
            sum += each.job.promptTokens();
        }
        return sum;
    }

    List<String> getAttemptIds() {
        List<String> ids = new ArrayList<>();
        if (running != null) {
            ids.add(running.id);
        }
        queue.forEach(each -> ids.add(each.id));
        return ids;
    }

    /** Gets the total time for which the engine has worked on prompts, in microseconds. */
    long getBusyMicros() {
        return busyMicros;
    }

    private void startNext() {
        if (running != null || queue.isEmpty() || !alive) {
            return;
        }
        Attempt attempt = queue.removeFirst();
        running = attempt;
        attempt.state = Attempt.State.PREFILLING;
        attempt.prefillStartMicros = loop.getNowMicros();
        attempt.cachedTokens =
                Math.min(attempt.job.promptTokens(), countCachedPieces(attempt.job) * settings.pieceTokens());
        long duration = EngineTimes.getPrefillMicros(settings, attempt.job.promptTokens() - attempt.cachedTokens);
        loop.scheduleAfter(duration, () -> finish(attempt, duration));
    }

    private void finish(Attempt attempt, long duration) {
        if (running != attempt) {
            return;
        }
        running = null;
        busyMicros += duration;
        attempt.prefillMicros = duration;
        attempt.state = Attempt.State.PREFILLED;
        cachePrefixes(attempt.job);
        completionListener.accept(attempt);
        startNext();
    }

    /** Counts the leading pieces of a prompt that are in the cache. */
    private int countCachedPieces(Job job) {
        int count = 0;
        for (Long each : job.prefixHashes()) {
            if (cache.get(each) == null) {
                return count;
            }
            count++;
        }
        return count;
    }

    private void cachePrefixes(Job job) {
        job.prefixHashes().forEach(each -> cache.put(each, true));
        while (cache.size() > cacheCapacityPieces) {
            cache.remove(cache.keySet().iterator().next());
        }
    }
}
