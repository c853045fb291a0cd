package org.magnoliavane.node.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.magnoliavane.poison.PoisonStatus;
import org.magnoliavane.poison.PoisonTracker;
import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Shares the poison verdicts of this node with the others.
 *
 * <p>Thread-safe.
 */
public final class PoisonRegistry {
    private static final int CAPACITY = 10_000;

    private final PoisonTracker tracker = new PoisonTracker(CAPACITY);
    private final AtomicReference<Runnable> onChange = new AtomicReference<>(() -> {});

    /**
     * Sets what runs after a verdict of this node.
     *
     * @param listener sends the change to the other nodes at once; must not block
     */
    public void setOnChange(Runnable listener) {
        onChange.set(listener);
    }

    /**
     * Gets the standing of a content.
     *
     * @param contentHash the hash of the content
     * @return the standing
     */
    public synchronized PoisonStatus getStanding(long contentHash) {
        return tracker.getStatus(contentHash);
    }

    /**
     * Gets the number of the newest change.
     *
     * @return the number; 0 when nothing changed yet
     */
    public synchronized long getSequence() {
        return tracker.getSequence();
    }

    /**
     * Gets the verdicts that changed.
     *
     * @param sequence the number of the last change that is known
     * @return the verdicts that changed later
     */
    public synchronized List<PoisonVerdict> getChangesAfter(long sequence) {
        return tracker.getChangesAfter(sequence).stream()
                .map(PoisonRegistry::toMessage)
                .toList();
    }

    /**
     * Takes the verdicts of another node.
     *
     * @param verdicts the verdicts
     */
    public synchronized void merge(List<PoisonVerdict> verdicts) {
        verdicts.forEach(verdict -> tracker.merge(toVerdict(verdict)));
    }

    synchronized boolean isProven(long contentHash) {
        return tracker.isKnownHarmless(contentHash);
    }

    void crashed(Set<Long> contents, Optional<Long> isolated) {
        synchronized (this) {
            tracker.recordCrash(contents, isolated);
        }
        onChange.get().run();
    }

    void completed(long contentHash, boolean isolated) {
        long before;
        long after;
        synchronized (this) {
            before = tracker.getSequence();
            tracker.recordCompletion(contentHash, isolated);
            after = tracker.getSequence();
        }
        if (after > before) {
            onChange.get().run();
        }
    }

    private static PoisonVerdict toMessage(org.magnoliavane.poison.PoisonVerdict verdict) {
        return PoisonVerdict.newBuilder()
                .setContentHash(verdict.contentHash())
                .setKindValue(verdict.status().ordinal())
                .setRevision(verdict.revision())
                .build();
    }

    private static org.magnoliavane.poison.PoisonVerdict toVerdict(PoisonVerdict message) {
        PoisonStatus standing = switch (message.getKind()) {
            case CONVICTED -> PoisonStatus.CONVICTED;
            case SUSPECTED -> PoisonStatus.SUSPECTED;
            default -> PoisonStatus.CLEARED;
        };
        return new org.magnoliavane.poison.PoisonVerdict(message.getContentHash(), standing, message.getRevision());
    }
}
