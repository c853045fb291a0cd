package org.magnoliavane.node.decision;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Writes decisions to a logger and retains the most recent ones in a ring buffer.
 *
 * <p>Thread-safe.
 */
public final class RecentDecisions implements DecisionLog {
    private final Logger logger;
    private final AtomicReferenceArray<Entry> ring;
    private final AtomicLong next = new AtomicLong();

    private RecentDecisions(Logger logger, int capacity) {
        this.logger = logger;
        this.ring = new AtomicReferenceArray<>(capacity);
    }

    /**
     * Creates an empty log.
     *
     * @param logger the logger, which receives one line for each decision
     * @param capacity the maximum number of retained decisions, at least 1
     * @return the log
     */
    public static RecentDecisions create(Logger logger, int capacity) {
        return new RecentDecisions(logger, capacity);
    }

    @Override
    public void record(Decision decision) {
        logger.log(Level.INFO, () -> toLine(decision));
        long number = next.getAndIncrement();
        ring.set((int) (number % ring.length()), new Entry(number, decision));
    }

    @Override
    public List<Decision> find(String request) {
        List<Entry> found = new ArrayList<>();
        for (int i = 0; i < ring.length(); i++) {
            Entry entry = ring.get(i);
            if (entry != null && entry.decision().request().equals(request)) {
                found.add(entry);
            }
        }
        found.sort(Comparator.comparingLong(Entry::number));
        return found.stream().map(Entry::decision).toList();
    }

    private static String toLine(Decision d) {
        return "request=" + d.request() + " stage=" + d.stage() + " considered=[" + d.considered() + "] chosen="
                + d.chosen() + " reason=\"" + d.reason() + "\"";
    }

    private record Entry(long number, Decision decision) {}
}
