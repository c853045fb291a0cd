package org.magnoliavane.poison;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks which request contents crash workers.
 *
 * <p>A crash makes every request content that was active on the worker suspected. The crash of a worker on which a
 * suspected content ran isolated confirms the content as poison; an answer that it completes while isolated clears it.
 *
 * <p>Not thread-safe. Memory is bounded: the oldest verdict other than {@link PoisonStatus#CONVICTED} is evicted first.
 */
public final class PoisonTracker {
    private final int capacity;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final Map<Long, Boolean> knownHarmless;
    private long sequence;

    /**
     * Creates a tracker without verdicts.
     *
     * @param capacity the maximum number of verdicts, and of contents that are known to be harmless
     */
    public PoisonTracker(int capacity) {
        this.capacity = capacity;
        knownHarmless = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > PoisonTracker.this.capacity;
            }
        };
    }

    /**
     * Gets the poison status of a request content.
     *
     * @param contentHash the hash of the content
     * @return the status; {@link PoisonStatus#CLEARED} for an unknown content
     */
    public PoisonStatus getStatus(long contentHash) {
        Entry entry = entries.get(contentHash);
        return entry == null ? PoisonStatus.CLEARED : entry.verdict.status();
    }

    /**
     * Returns whether the request content was answered completely before and is not suspected.
     *
     * @param contentHash the hash of the content
     * @return true when it is known to be harmless
     */
    public boolean isKnownHarmless(long contentHash) {
        return knownHarmless.containsKey(contentHash) && getStatus(contentHash) == PoisonStatus.CLEARED;
    }

    /**
     * Records the crash of a worker.
     *
     * @param contents the hashes of the contents that were active on the worker
     * @param isolated the hash of the suspected content that ran isolated on the worker; empty when there was none
     */
    public void recordCrash(Set<Long> contents, Optional<Long> isolated) {
        for (long content : contents) {
            boolean confirmed =
                    isolated.isPresent() && isolated.get() == content && getStatus(content) == PoisonStatus.SUSPECTED;
            updateVerdict(content, confirmed ? PoisonStatus.CONVICTED : PoisonStatus.SUSPECTED);
        }
    }

    /**
     * Records a completed answer.
     *
     * @param contentHash the hash of the content
     * @param isolated true when the request ran isolated
     */
    public void recordCompletion(long contentHash, boolean isolated) {
        if (isolated && getStatus(contentHash) == PoisonStatus.SUSPECTED) {
            updateVerdict(contentHash, PoisonStatus.CLEARED);
        }
        if (getStatus(contentHash) == PoisonStatus.CLEARED) {
            knownHarmless.put(contentHash, true);
        }
    }

    /**
     * Merges a verdict of another node.
     *
     * @param verdict the verdict
     * @return true when it replaced the verdict of this node
     */
    public boolean merge(PoisonVerdict verdict) {
        Entry known = entries.get(verdict.contentHash());
        if (known != null && !verdict.replaces(known.verdict)) {
            return false;
        }
        store(verdict);
        return true;
    }

    /**
     * Gets the sequence number of the latest change.
     *
     * @return the number; 0 when there was no change
     */
    public long getSequence() {
        return sequence;
    }

    /**
     * Gets the verdicts that changed after a known change.
     *
     * @param after the sequence number of the last known change
     * @return the verdicts that changed later, in the order of their changes
     */
    public List<PoisonVerdict> getChangesAfter(long after) {
        if (after >= sequence) {
            return List.of();
        }
        List<PoisonVerdict> changes = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.sequence > after) {
                changes.add(entry.verdict);
            }
        }
        return changes;
    }

    private void updateVerdict(long content, PoisonStatus status) {
        Entry known = entries.get(content);
        if (known != null && known.verdict.status() == PoisonStatus.CONVICTED) {
            return;
        }
        knownHarmless.remove(content);
        long revision = known == null ? 1 : known.verdict.revision() + 1;
        store(new PoisonVerdict(content, status, revision));
    }

    private void store(PoisonVerdict verdict) {
        sequence++;
        entries.remove(verdict.contentHash());
        entries.put(verdict.contentHash(), new Entry(verdict, sequence));
        if (entries.size() > capacity) {
            evictOldest();
        }
    }

    private void evictOldest() {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().verdict.status() != PoisonStatus.CONVICTED) {
                oldest.remove();
                return;
            }
        }
        Iterator<Long> first = entries.keySet().iterator();
        first.next();
        first.remove();
    }

    private record Entry(PoisonVerdict verdict, long sequence) {}
}
