package org.magnoliavane.poison;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Counts crashes by request content. A crash makes everything on the worker suspect; a crash of a worker that a suspect
 * had to itself convicts it; an answer that a suspect completes alone clears it.
 *
 * <p>Not thread-safe. Memory is bounded: the oldest verdict that is no conviction is forgotten first.
 */
public final class PoisonTracker {
    private final int capacity;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final Map<Long, Boolean> proven;
    private long sequence;

    /**
     * Creates a tracker without verdicts.
     *
     * @param capacity the largest number of verdicts, and of contents that are known to be harmless
     */
    public PoisonTracker(int capacity) {
        this.capacity = capacity;
        proven = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > PoisonTracker.this.capacity;
            }
        };
    }

    /**
     * Gets the standing of a content.
     *
     * @param contentHash the hash of the content
     * @return the standing
     */
    public PoisonStatus getStatus(long contentHash) {
        Entry entry = entries.get(contentHash);
        return entry == null ? PoisonStatus.CLEARED : entry.verdict.status();
    }

    /**
     * Says whether the content was answered completely before.
     *
     * @param contentHash the hash of the content
     * @return true when it is known to be harmless
     */
    public boolean isKnownHarmless(long contentHash) {
        return proven.containsKey(contentHash) && getStatus(contentHash) == PoisonStatus.CLEARED;
    }

    /**
     * Takes the crash of a worker.
     *
     * @param contents the contents that were in work on the worker
     * @param isolated the content that had the worker to itself because it was suspect; empty when there was none
     */
    public void recordCrash(Set<Long> contents, Optional<Long> isolated) {
        for (long content : contents) {
            boolean guilty =
                    isolated.isPresent() && isolated.get() == content && getStatus(content) == PoisonStatus.SUSPECTED;
            change(content, guilty ? PoisonStatus.CONVICTED : PoisonStatus.SUSPECTED);
        }
    }

    /**
     * Takes a completed answer.
     *
     * @param contentHash the hash of the content
     * @param isolated true when the request had its workers to itself
     */
    public void recordCompletion(long contentHash, boolean isolated) {
        if (isolated && getStatus(contentHash) == PoisonStatus.SUSPECTED) {
            change(contentHash, PoisonStatus.CLEARED);
        }
        if (getStatus(contentHash) == PoisonStatus.CLEARED) {
            proven.put(contentHash, true);
        }
    }

    /**
     * Takes a verdict of another node.
     *
     * @param verdict the verdict
     * @return true when it changed something
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
     * Gets the number of the newest change.
     *
     * @return the number; 0 when nothing changed yet
     */
    public long getSequence() {
        return sequence;
    }

    /**
     * Gets the verdicts that changed.
     *
     * @param after the number of the last change that is known
     * @return the verdicts that changed later, in order
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

    private void change(long content, PoisonStatus standing) {
        Entry known = entries.get(content);
        if (known != null && known.verdict.status() == PoisonStatus.CONVICTED) {
            return;
        }
        proven.remove(content);
        long revision = known == null ? 1 : known.verdict.revision() + 1;
        store(new PoisonVerdict(content, standing, revision));
    }

    private void store(PoisonVerdict verdict) {
        sequence++;
        entries.remove(verdict.contentHash());
        entries.put(verdict.contentHash(), new Entry(verdict, sequence));
        if (entries.size() > capacity) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
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
