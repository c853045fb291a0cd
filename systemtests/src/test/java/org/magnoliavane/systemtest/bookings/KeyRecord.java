package org.magnoliavane.systemtest.bookings;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Collects the outcomes that callers received for one key.
 *
 * <p>Thread-safe.
 */
final class KeyRecord {
    private final Set<Outcome> outcomes = EnumSet.noneOf(Outcome.class);
    private final List<String> history = new ArrayList<>();
    private final Set<String> receipts = new HashSet<>();
    private final AtomicInteger sentCount = new AtomicInteger();
    private boolean foreignReceipt;

    void countSent() {
        sentCount.incrementAndGet();
    }

    int getSentCount() {
        return sentCount.get();
    }

    synchronized void recordOutcome(Outcome outcome, String node, String text) {
        outcomes.add(outcome);
        history.add(node + " " + outcome + " " + text);
    }

    synchronized void recordReceipt(String node, String id, boolean ofOtherKey) {
        recordOutcome(Outcome.YES, node, id);
        receipts.add(id);
        foreignReceipt |= ofOtherKey;
    }

    synchronized boolean hasOutcome(Outcome outcome) {
        return outcomes.contains(outcome);
    }

    /** Gets the most certain of all outcomes received. */
    synchronized Outcome getFinalOutcome() {
        return outcomes.stream().findFirst().orElse(Outcome.UNANSWERED);
    }

    synchronized int countReceipts() {
        return receipts.size();
    }

    synchronized boolean hasForeignReceipt() {
        return foreignReceipt;
    }

    @Override
    public synchronized String toString() {
        return "sent " + sentCount + " times: " + history;
    }

    /** States whether the request ran according to a response, the most certain outcome first. */
    enum Outcome {
        YES,
        NO,
        UNKNOWN,
        UNANSWERED
    }
}
