package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

import org.magnoliavane.config.ModelSettings;

/**
 * Models the links: each worker has one link, a transfer needs the links of both its workers, and transfers begin in
 * the order of their requests as links become free. Not thread-safe.
 */
final class Transfers {
    private final EventLoop loop;
    private final ModelSettings settings;
    private final Consumer<Attempt> done;
    private final List<Attempt> pending = new ArrayList<>();

    Transfers(EventLoop loop, ModelSettings settings, Consumer<Attempt> done) {
        this.loop = loop;
        this.settings = settings;
        this.done = done;
    }

    void request(Attempt attempt) {
        pending.add(attempt);
        startReady();
    }

    /** Drops the transfer of an attempt that is over and frees its links. */
    void drop(Attempt attempt) {
        pending.remove(attempt);
        if (attempt.transferBegun && attempt.state == Attempt.State.TRANSFERRING) {
            attempt.source.linkBusy = false;
            attempt.target.linkBusy = false;
        }
    }

    void startReady() {
        Iterator<Attempt> each = pending.iterator();
        while (each.hasNext()) {
            Attempt attempt = each.next();
            if (!attempt.source.linkBusy && !attempt.target.linkBusy) {
                each.remove();
                begin(attempt);
            }
        }
    }

    private void begin(Attempt attempt) {
        attempt.transferBegun = true;
        attempt.source.linkBusy = true;
        attempt.target.linkBusy = true;
        long duration = EngineTimes.transfer(settings, attempt.job.promptTokens());
        loop.after(duration, () -> finish(attempt));
    }

    private void finish(Attempt attempt) {
        if (attempt.isOver()) {
            return;
        }
        long stalled = Math.max(attempt.source.stalledUntilMicros, attempt.target.stalledUntilMicros);
        if (stalled > loop.now()) {
            loop.at(stalled, () -> finish(attempt));
            return;
        }
        attempt.source.linkBusy = false;
        attempt.target.linkBusy = false;
        done.accept(attempt);
        startReady();
    }
}
