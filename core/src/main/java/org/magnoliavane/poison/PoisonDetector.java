package org.magnoliavane.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Infers which features of requests crash the workers that run them, from the crashes at which each feature was present and
 * from the answers that contradict it.
 *
 * <p>All requests of a worker that crashes are accused, most of them wrongly. A feature that crashes workers is present at one
 * crash after the other and in no answer; the features beside it are soon in an answer that gets past its beginning, or is
 * completed. So a feature is convicted by {@value #UNCONTRADICTED_CRASHES} crashes without an answer past its beginning, or by
 * {@value #ANY_CRASHES} crashes without a completed one.
 *
 * <p>A conviction ends with a completed answer. Answers come from requests that are already under way, and from trials: one
 * request at a time if the crashes can as well be explained by another convicted feature that the request does not have, and
 * one after a growing time if they cannot.
 *
 * <p>Thread-safe. Memory is bounded: the least recently used features with less than two crashes are evicted first.
 */
public final class PoisonDetector {
    /** Time after its first byte from which an answer counts as past its beginning, in milliseconds. */
    public static final long BEGINNING_MILLIS = 500;

    /** Number of crashes that convict a feature of which no answer is known to have got past its beginning. */
    static final int UNCONTRADICTED_CRASHES = 3;

    /** Number of crashes without a completed answer that convict any feature. */
    static final int ANY_CRASHES = 5;

    /** Time after a conviction before a single request is sent as a trial; each further crash multiplies it. */
    static final long FIRST_TRIAL_MILLIS = 60_000;

    private static final int TRIAL_FACTOR = 4;
    private static final long MAX_TRIAL_MILLIS = 3_600_000;

    /** Minimum time after the last crash before a trial of a feature whose crashes another one explains. */
    private static final long EXPLAINED_TRIAL_MILLIS = 500;

    /** Time after which a trial without a result no longer prevents the next one. */
    private static final long MAX_TRIAL_DURATION_MILLIS = 10_000;

    /** Number of crashes beyond those of another feature from which that one no longer explains a feature. */
    private static final int UNEXPLAINED_CRASHES = 2;

    /** Time for which a change is repeated to other nodes, since a report may be lost. */
    private static final long REPORT_MILLIS = 5000;

    private static final int MAX_FEATURES = 4096;
    private static final int MAX_CRASHES_PER_FEATURE = 16;

    private final Map<Long, Suspect> suspects = new LinkedHashMap<>(16, 0.75f, true);

    /** Parts of answers that got past their beginning. */
    private final Map<Long, Boolean> progressedParts = createBoundedMap();

    /** Contents of completed answers; kept apart, because most contents occur only once. */
    private final Map<Long, Boolean> answeredContents = createBoundedMap();

    private final Set<Long> convicted = new HashSet<>();
    private final List<Long> cleared = new ArrayList<>();
    private final Map<Long, Long> trialStartMillis = new HashMap<>();
    private final LongPredicate ownsTrials;
    private long lastChangeMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a detector without evidence.
     *
     * @param ownsTrials returns whether this node is the one that sends trials of a feature; one node should do so
     */
    public PoisonDetector(LongPredicate ownsTrials) {
        this.ownsTrials = ownsTrials;
    }

    private static Map<Long, Boolean> createBoundedMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > MAX_FEATURES;
            }
        };
    }

    /**
     * Records that a request broke off with its worker. A content counts without a proof that the worker has ended, because
     * only repeats of the same request add up.
     *
     * @param request the features of the request
     * @param crash the id of the crash, the same at all nodes
     * @param nowMillis the current time in milliseconds
     * @return the features that are convicted now and were not before
     */
    public synchronized List<Long> recordBroken(RequestFeatures request, long crash, long nowMillis) {
        return accuse(List.of(request.content()), crash, false, nowMillis);
    }

    /**
     * Records that a worker has ended while it ran a request.
     *
     * @param request the features of the request
     * @param crash the id of the crash, the same at all nodes
     * @param pastBeginning whether the answer to the request had got past its beginning
     * @param nowMillis the current time in milliseconds
     * @return the features that are convicted now and were not before
     */
    public synchronized List<Long> recordCrash(
            RequestFeatures request, long crash, boolean pastBeginning, long nowMillis) {
        List<Long> added = new ArrayList<>(accuse(request.parts(), crash, pastBeginning, nowMillis));
        added.addAll(accuse(List.of(request.content()), crash, false, nowMillis));
        return added;
    }

    /**
     * Records that an answer has got past its beginning.
     *
     * @param request the features of the request
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void recordProgress(RequestFeatures request, long nowMillis) {
        request.parts().forEach(p -> progressedParts.put(p, true));
        refute(request.parts(), Refutation.PROGRESSED, nowMillis);
    }

    /**
     * Records a completed answer.
     *
     * @param request the features of the request
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void recordAnswer(RequestFeatures request, long nowMillis) {
        request.parts().forEach(p -> progressedParts.put(p, true));
        answeredContents.put(request.content(), true);
        refute(request.getAll(), Refutation.ANSWERED, nowMillis);
    }

    /**
     * Merges the evidence of another node.
     *
     * @param evidence the evidence
     * @param nowMillis the current time in milliseconds
     * @return the features that are convicted now and were not before
     */
    public synchronized List<Long> merge(CrashEvidence evidence, long nowMillis) {
        long feature = evidence.feature();
        boolean changed = false;
        for (Map.Entry<Long, Refutation> crash : evidence.crashes().entrySet()) {
            Refutation refutation = crash.getValue();
            if (refutation == Refutation.NONE && isContradicted(feature)) {
                // The other nodes learn from this one that the feature has been in an answer.
                refutation = Refutation.PROGRESSED;
            }
            boolean raised = add(feature, crash.getKey(), refutation, nowMillis);
            if (raised && refutation != crash.getValue()) {
                markChanged(getSuspect(feature), nowMillis);
            }
            changed |= raised;
        }
        return changed ? updateConvictions(List.of(feature)) : List.of();
    }

    /**
     * Decides whether a request may be sent. A request under trial must be ended by {@link #endTrial}.
     *
     * @param request the features of the request
     * @param nowMillis the current time in milliseconds
     * @return the decision
     */
    public synchronized PoisonDecision decide(RequestFeatures request, long nowMillis) {
        PoisonDecision decision = judge(request, nowMillis);
        if (decision.kind() == PoisonDecision.Kind.TRIAL) {
            request.getAll().stream().filter(convicted::contains).forEach(f -> trialStartMillis.put(f, nowMillis));
        }
        return decision;
    }

    /**
     * Ends the trial of a request.
     *
     * @param request the features of the request
     */
    public synchronized void endTrial(RequestFeatures request) {
        request.getAll().forEach(trialStartMillis::remove);
    }

    /**
     * Returns whether a request has a convicted feature.
     *
     * @param request the features of the request
     * @return true if it must not be sent, unless it is under trial
     */
    public synchronized boolean isConvicted(RequestFeatures request) {
        return !convicted.isEmpty() && request.getAll().stream().anyMatch(convicted::contains);
    }

    /**
     * Returns whether a feature of a request was present at a crash that no completed answer contradicts.
     *
     * @param request the features of the request
     * @return true if one of them was
     */
    public synchronized boolean isAccused(RequestFeatures request) {
        return request.getAll().stream()
                .anyMatch(f -> suspects.containsKey(f) && !getActiveCrashes(f).isEmpty());
    }

    /**
     * Gets the features whose conviction has ended since the last call.
     *
     * @return the features
     */
    public synchronized List<Long> takeCleared() {
        if (cleared.isEmpty()) {
            return List.of();
        }
        List<Long> taken = List.copyOf(cleared);
        cleared.clear();
        return taken;
    }

    /**
     * Gets the evidence to report to other nodes: convicted features, since a node may have just started, and what this node
     * has changed lately.
     *
     * @param limit the largest number of features
     * @param nowMillis the current time in milliseconds
     * @return the evidence, the most important first
     */
    public synchronized List<CrashEvidence> getReport(int limit, long nowMillis) {
        if (convicted.isEmpty() && nowMillis - lastChangeMillis >= REPORT_MILLIS) {
            return List.of();
        }
        return suspects.entrySet().stream()
                .filter(e -> convicted.contains(e.getKey()) || nowMillis - e.getValue().changedMillis < REPORT_MILLIS)
                .sorted(Comparator.comparingInt(
                                (Map.Entry<Long, Suspect> e) -> e.getValue().getWeight())
                        .reversed())
                .limit(limit)
                .map(e -> new CrashEvidence(e.getKey(), new LinkedHashMap<>(e.getValue().crashes)))
                .toList();
    }

    private List<Long> accuse(List<Long> features, long crash, boolean pastBeginning, long nowMillis) {
        List<Long> changed = new ArrayList<>();
        for (long feature : features) {
            boolean contradicted = pastBeginning || isContradicted(feature);
            if (add(feature, crash, contradicted ? Refutation.PROGRESSED : Refutation.NONE, nowMillis)) {
                markChanged(getSuspect(feature), nowMillis);
                changed.add(feature);
            }
        }
        return updateConvictions(changed);
    }

    /** Returns whether this node knows an earlier answer that speaks against the feature. */
    private boolean isContradicted(long feature) {
        return progressedParts.containsKey(feature) || answeredContents.containsKey(feature);
    }

    private PoisonDecision judge(RequestFeatures request, long nowMillis) {
        if (convicted.isEmpty()) {
            return PoisonDecision.ADMITTED;
        }
        PoisonDecision decision = PoisonDecision.ADMITTED;
        for (long feature : request.getAll()) {
            if (!convicted.contains(feature)) {
                continue;
            }
            PoisonDecision.Kind kind = judgeConvicted(feature, request, nowMillis);
            if (kind.compareTo(decision.kind()) > 0) {
                Suspect suspect = suspects.get(feature);
                decision = new PoisonDecision(
                        kind, feature, getActiveCrashes(feature).size(), nowMillis - suspect.lastCrashMillis);
            }
        }
        return decision;
    }

    private PoisonDecision.Kind judgeConvicted(long feature, RequestFeatures request, long nowMillis) {
        Set<Long> active = getActiveCrashes(feature);
        long ageMillis = nowMillis - suspects.get(feature).lastCrashMillis;
        boolean trialRunning = nowMillis - trialStartMillis.getOrDefault(feature, nowMillis - MAX_TRIAL_DURATION_MILLIS)
                < MAX_TRIAL_DURATION_MILLIS;
        if (isExplained(feature, active, request)) {
            return trialRunning || ageMillis < EXPLAINED_TRIAL_MILLIS
                    ? PoisonDecision.Kind.WAIT
                    : PoisonDecision.Kind.TRIAL;
        }
        boolean due = ageMillis >= getTrialDelayMillis(active.size());
        return due && !trialRunning && ownsTrials.test(feature)
                ? PoisonDecision.Kind.TRIAL
                : PoisonDecision.Kind.REFUSE;
    }

    private static long getTrialDelayMillis(int crashes) {
        long delayMillis = FIRST_TRIAL_MILLIS;
        for (int i = UNCONTRADICTED_CRASHES; i < crashes && delayMillis < MAX_TRIAL_MILLIS; i++) {
            delayMillis *= TRIAL_FACTOR;
        }
        return Math.min(delayMillis, MAX_TRIAL_MILLIS);
    }

    /** Returns whether another convicted feature, which the request does not have, may have caused the same crashes. */
    private boolean isExplained(long feature, Set<Long> active, RequestFeatures request) {
        List<Long> own = request.getAll();
        for (long other : convicted) {
            if (own.contains(other)) {
                continue;
            }
            Set<Long> explained = getActiveCrashes(other);
            long unexplained =
                    active.stream().filter(c -> !explained.contains(c)).count();
            boolean notWeaker = countFresh(feature) <= countFresh(other) && active.size() <= explained.size() + 1;
            if (unexplained < UNEXPLAINED_CRASHES && notWeaker) {
                return true;
            }
        }
        return false;
    }

    /** Adds or contradicts a crash, and returns false if that was known. */
    private boolean add(long feature, long crash, Refutation refutation, long nowMillis) {
        Suspect suspect = getSuspect(feature);
        Refutation known = suspect.crashes.get(crash);
        if (known != null && known.compareTo(refutation) >= 0) {
            return false;
        }
        suspect.crashes.put(crash, refutation);
        if (known == null && refutation != Refutation.ANSWERED) {
            suspect.lastCrashMillis = nowMillis;
        }
        if (suspect.crashes.size() > MAX_CRASHES_PER_FEATURE) {
            Iterator<Long> oldest = suspect.crashes.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    private Suspect getSuspect(long feature) {
        Suspect known = suspects.get(feature);
        if (known != null) {
            return known;
        }
        Suspect created = new Suspect();
        suspects.put(feature, created);
        if (suspects.size() > MAX_FEATURES) {
            evict(feature);
        }
        return created;
    }

    private void markChanged(Suspect suspect, long nowMillis) {
        suspect.changedMillis = nowMillis;
        lastChangeMillis = nowMillis;
    }

    private void evict(long added) {
        Long eldest = null;
        for (Map.Entry<Long, Suspect> entry : suspects.entrySet()) {
            if (entry.getKey() != added && entry.getValue().crashes.size() < 2) {
                suspects.remove(entry.getKey());
                return;
            }
            if (eldest == null && !convicted.contains(entry.getKey())) {
                eldest = entry.getKey();
            }
        }
        long evicted = eldest == null ? suspects.keySet().iterator().next() : eldest;
        suspects.remove(evicted);
        convicted.remove(evicted);
    }

    private void refute(List<Long> features, Refutation refutation, long nowMillis) {
        List<Long> changed = new ArrayList<>();
        for (long feature : features) {
            Suspect suspect = suspects.get(feature);
            if (suspect == null) {
                continue;
            }
            for (Map.Entry<Long, Refutation> crash : suspect.crashes.entrySet()) {
                if (crash.getValue().compareTo(refutation) < 0) {
                    crash.setValue(refutation);
                    markChanged(suspect, nowMillis);
                    changed.add(feature);
                }
            }
        }
        updateConvictions(changed);
    }

    private List<Long> updateConvictions(List<Long> changed) {
        List<Long> added = new ArrayList<>();
        for (long feature : changed) {
            int active = getActiveCrashes(feature).size();
            boolean guilty = countFresh(feature) >= UNCONTRADICTED_CRASHES || active >= ANY_CRASHES;
            if (!guilty && convicted.remove(feature)) {
                cleared.add(feature);
            } else if (guilty && convicted.add(feature)) {
                added.add(feature);
            }
        }
        return added;
    }

    private Set<Long> getActiveCrashes(long feature) {
        Suspect suspect = suspects.get(feature);
        Set<Long> active = new HashSet<>();
        if (suspect != null) {
            suspect.crashes.forEach((crash, refutation) -> {
                if (refutation != Refutation.ANSWERED) {
                    active.add(crash);
                }
            });
        }
        return active;
    }

    private long countFresh(long feature) {
        Suspect suspect = suspects.get(feature);
        return suspect == null
                ? 0
                : suspect.crashes.values().stream()
                        .filter(r -> r == Refutation.NONE)
                        .count();
    }

    private static final class Suspect {
        private final Map<Long, Refutation> crashes = new LinkedHashMap<>();
        private long lastCrashMillis;

        /** Time of the last change by this node itself. */
        private long changedMillis = Long.MIN_VALUE / 2;

        /** Gets the importance for other nodes: crashes that nothing contradicts weigh most. */
        private int getWeight() {
            int weight = 0;
            for (Refutation refutation : crashes.values()) {
                weight += refutation == Refutation.NONE ? 4 : 1;
            }
            return weight;
        }
    }
}
