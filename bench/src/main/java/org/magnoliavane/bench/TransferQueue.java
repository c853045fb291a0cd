package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

import org.magnoliavane.config.ModelSettings;

/**
 * Models the transfers of KV caches from prefill to decode workers. Each worker has one link, and a transfer needs the
 * links of both its workers. Pending transfers start in the order of their arrival as links become free. Not
 * thread-safe.
 */
final class TransferQueue {
    private final EventLoop loop;
    private final ModelSettings settings;
    private final Consumer<Attempt> completionListener;
    private final List<Attempt> pending = new ArrayList<>();

    TransferQueue(EventLoop loop, ModelSettings settings, Consumer<Attempt> completionListener) {
        this.loop = loop;
        this.settings = settings;
        this.completionListener = completionListener;
    }

    void enqueue(Attempt attempt) {
        pending.add(attempt);
        startReady();
    }

    /** Cancels the transfer of an attempt and releases its links. Call before the state of the attempt is changed. */
    void cancel(Attempt attempt) {
        pending.remove(attempt);
        if (attempt.transferStarted && attempt.state == Attempt.State.TRANSFERRING) {
            attempt.prefillEngine.linkBusy = false;
            attempt.decodeEngine.linkBusy = false;
        }
    }

    /** Starts all pending transfers whose links are free. */
    void startReady() {
        Iterator<Attempt> each = pending.iterator();
        while (each.hasNext()) {
            Attempt attempt = each.next();
            if (!attempt.prefillEngine.linkBusy && !attempt.decodeEngine.linkBusy) {
                each.remove();
                start(attempt);
            }
        }
    }

    private void start(Attempt attempt) {
        attempt.transferStarted = true;
        attempt.prefillEngine.linkBusy = true;
        attempt.decodeEngine.linkBusy = true;
        long duration = EngineTimes.getTransferMicros(settings, attempt.job.promptTokens());
        loop.scheduleAfter(duration, () -> finish(attempt));
    }

    private void finish(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        long stalled = Math.max(attempt.prefillEngine.stalledUntilMicros, attempt.decodeEngine.stalledUntilMicros);
        if (stalled > loop.getNowMicros()) {
            loop.scheduleAt(stalled, () -> finish(attempt));
            return;
        }
        attempt.prefillEngine.linkBusy = false;
        attempt.decodeEngine.linkBusy = false;
        completionListener.accept(attempt);
        startReady();
    }
}
