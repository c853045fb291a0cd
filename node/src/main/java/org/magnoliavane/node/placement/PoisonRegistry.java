package org.magnoliavane.node.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.magnoliavane.poison.PoisonStatus;
import org.magnoliavane.poison.PoisonTracker;
import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Holds the poison verdicts known to this node and converts them for the exchange with other nodes.
 *
 * <p>Thread-safe.
 */
public final class PoisonRegistry {
    /** Largest number of contents that are tracked. */
    private static final int CAPACITY = 10_000;

    private final PoisonTracker tracker = new PoisonTracker(CAPACITY);
    private final AtomicReference<Runnable> changeListener = new AtomicReference<>(() -> {});

    /**
     * Sets the listener that runs after this node has changed a verdict.
     *
     * @param listener sends the change to the other nodes; must not block
     */
    public void setChangeListener(Runnable listener) {
        changeListener.set(listener);
    }

    /**
     * Gets the poison status of a request content.
     *
     * @param contentHash the hash of the content
     * @return the status
     */
    public synchronized PoisonStatus getStatus(long contentHash) {
        return tracker.getStatus(contentHash);
    }

    /**
     * Gets the sequence number of the latest change.
     *
     * @return the sequence number; 0 before the first change
     */
    public synchronized long getSequence() {
        return tracker.getSequence();
    }

    /**
     * Gets the verdicts that changed after a sequence number.
     *
     * @param sequence the sequence number of the last known change
     * @return the verdicts that changed later
     */
    public synchronized List<PoisonVerdict> getChangesAfter(long sequence) {
        return tracker.getChangesAfter(sequence).stream()
                .map(PoisonRegistry::toMessage)
                .toList();
    }

    /**
     * Merges the verdicts of another node.
     *
     * @param verdicts the verdicts
     */
    public synchronized void merge(List<PoisonVerdict> verdicts) {
        verdicts.forEach(verdict -> tracker.merge(toVerdict(verdict)));
    }

    /** Returns whether the content is known to be harmless, so that copies of it need not run one after the other. */
    synchronized boolean isKnownHarmless(long contentHash) {
        return tracker.isKnownHarmless(contentHash);
    }

    /**
     * Records the crash of a worker.
     *
     * @param contents the hashes of the contents that may have caused the crash
     * @param isolated the hash of the content that ran isolated on the worker; empty when none did
     */
    void recordCrash(Set<Long> contents, Optional<Long> isolated) {
        synchronized (this) {
            tracker.recordCrash(contents, isolated);
        }
        changeListener.get().run();
    }

    /**
     * Convicts a content that crashed a worker while it ran isolated, whether or not this node knew that it was suspected.
     *
     * @param contentHash the hash of the content; 0 if it is unknown
     */
    void confirmPoison(long contentHash) {
        if (contentHash == 0 || getStatus(contentHash) == PoisonStatus.CONVICTED) {
            return;
        }
        synchronized (this) {
            tracker.recordCrash(Set.of(contentHash), Optional.empty());
            tracker.recordCrash(Set.of(contentHash), Optional.of(contentHash));
        }
        changeListener.get().run();
    }

    /**
     * Records the complete answer to a content.
     *
     * @param contentHash the hash of the content
     * @param isolated true when the attempt shared its workers with no other attempt
     */
    void recordCompletion(long contentHash, boolean isolated) {
        long sequenceBefore;
        long sequenceAfter;
        synchronized (this) {
            sequenceBefore = tracker.getSequence();
            tracker.recordCompletion(contentHash, isolated);
            sequenceAfter = tracker.getSequence();
        }
        if (sequenceAfter > sequenceBefore) {
            changeListener.get().run();
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
        PoisonStatus status = switch (message.getKind()) {
            case CONVICTED -> PoisonStatus.CONVICTED;
            case SUSPECTED -> PoisonStatus.SUSPECTED;
            default -> PoisonStatus.CLEARED;
        };
        return new org.magnoliavane.poison.PoisonVerdict(message.getContentHash(), status, message.getRevision());
    }
}
