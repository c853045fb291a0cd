package org.magnoliavane.systemtest.bookings;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Collects what the callers learnt about one key.
 *
 * <p>Thread-safe.
 */
final class KeyRecord {
    private final Set<Outcome> answers = EnumSet.noneOf(Outcome.class);
    private final List<String> history = new ArrayList<>();
    private final Set<String> receipts = new HashSet<>();
    private final AtomicInteger sent = new AtomicInteger();
    private boolean crossed;

    void countSent() {
        sent.incrementAndGet();
    }

    int getSent() {
        return sent.get();
    }

    synchronized void take(Outcome outcome, String node, String text) {
        answers.add(outcome);
        history.add(node + " " + outcome + " " + text);
    }

    synchronized void takeReceipt(String node, String id, boolean ofOtherKey) {
        take(Outcome.YES, node, id);
        receipts.add(id);
        crossed |= ofOtherKey;
    }

    synchronized boolean has(Outcome outcome) {
        return answers.contains(outcome);
    }

    /** Gets what the caller knows in the end: the most certain of all answers. */
    synchronized Outcome getFinal() {
        return answers.stream().findFirst().orElse(Outcome.UNANSWERED);
    }

    synchronized int countReceipts() {
        return receipts.size();
    }

    synchronized boolean isCrossed() {
        return crossed;
    }

    @Override
    public synchronized String toString() {
        return "sent " + sent + " times: " + history;
    }

    /** What an answer says about the run, the most certain first. */
    enum Outcome {
        YES,
        NO,
        UNKNOWN,
        UNANSWERED
    }
}
