package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.ModelSettings;

/**
 * Schedules requests by least slack: the time left until the latest start that meets their targets. Decode memory is
 * reserved before each prefill starts.
 *
 * <p>Deterministic. Not thread-safe. Times are in microseconds.
 */
public final class SlackScheduler implements PoolScheduler {
    private static final long REPLAN_INTERVAL_MICROS = 50_000;
    /** The time for which ended attempts are retained, because delayed load reports may still list them. */
    private static final long ENDED_RETENTION_MICROS = 10_000_000;

    private static final long PRICE_UPDATE_INTERVAL_MICROS = 500_000;
    /** The maximum number of prefills at a worker: the running one and the one that is sent shortly before its end. */
    private static final int MAX_SENT_PER_PREFILL_WORKER = 2;
    /** The delay of messages: of the offer to this scheduler and of the prefill to its worker. */
    private static final long MESSAGE_DELAY_MICROS = 5_000;

    private static final int GROWTH_LOOKAHEAD_TOKENS = 48;
    /** The maximum number of pieces that answers of one worker may wait for; a larger number could deadlock them. */
    private static final int MAX_CLAIMED_PIECES = 2;

    private static final double MIN_SHARE = 0.1;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 60_000;

    private static final Comparator<QueuedRequest> BY_SLACK =
            Comparator.comparingLong(QueuedRequest::latestStartMicros).thenComparingLong(QueuedRequest::sequence);

    private final EngineEstimator estimator;
    private final SchedulerTuning tuning;
    private final Map<String, PrefillState> prefills = new LinkedHashMap<>();
    private final Map<String, DecodeState> decodes = new LinkedHashMap<>();
    private final TreeSet<QueuedRequest> queue = new TreeSet<>(BY_SLACK);
    private final Map<String, QueuedRequest> queuedByAttempt = new HashMap<>();
    private final Map<String, StartedAttempt> startedByAttempt = new LinkedHashMap<>();
    private final LinkedHashMap<String, Long> endedMicros = new LinkedHashMap<>();
    private final PrefixHints hints;
    private final PartnerShares shares = new PartnerShares();
    private final ShadowPrices prices;
    private final List<SchedulerDecision> decisions = new ArrayList<>();
    private long sequence;
    private long nextPlanMicros = Long.MAX_VALUE;
    private long nextPriceMicros;
    private long wakeMicros = Long.MAX_VALUE;
    private boolean planDue;

    private SlackScheduler(ModelSettings settings, SchedulerTuning tuning) {
        this.estimator = new EngineEstimator(settings, tuning);
        this.tuning = tuning;
        this.prices = new ShadowPrices(tuning.priceWindowMicros());
        this.hints = new PrefixHints(tuning.hintLifetimeMicros());
    }

    /**
     * Creates a scheduler with the default tuning.
     *
     * @param settings the settings of the service
     * @return the scheduler, without workers
     */
    public static SlackScheduler of(ModelSettings settings) {
        return of(settings, SchedulerTuning.forDecodeStep(settings.decodeStepMillis()));
    }

    /**
     * Creates a scheduler.
     *
     * @param settings the settings of the service
     * @param tuning the tuning values
     * @return the scheduler, without workers
     */
    public static SlackScheduler of(ModelSettings settings, SchedulerTuning tuning) {
        return new SlackScheduler(settings, tuning);
    }

    @Override
    public void offer(PlacementRequest request, long nowMicros) {
        if (queuedByAttempt.containsKey(request.attempt()) || startedByAttempt.containsKey(request.attempt())) {
            return;
        }
        QueuedRequest entry = estimateRequest(request, nowMicros);
        shares.add(request, 0, nowMicros);
        updatePrices(nowMicros);
        prices.add(nowMicros, entry.prefillCost(), entry.decodeCost(), computeValue(request));
        boolean costly =
                computeCostToValueRatio(entry) * computeFairnessFactor(request, nowMicros) > tuning.priceLimit();
        if (costly && !request.isolated() && isBacklogged(entry, nowMicros)) {
            refuse(
                    entry,
                    FaultKind.OVERLOADED,
                    createPlan(nowMicros),
                    "the cost exceeds the value at the current capacity prices");
            return;
        }
        queue.add(entry);
        queuedByAttempt.put(entry.attempt(), entry);
        planDue = true;
    }

    @Override
    public void updateProgress(AttemptProgress progress, long nowMicros) {
        StartedAttempt attempt = startedByAttempt.get(progress.attempt());
        if (attempt == null) {
            return;
        }
        if (progress.phase().isTerminal()) {
            avoidFailedWorker(attempt, progress.phase(), nowMicros);
            release(attempt, nowMicros);
            return;
        }
        if (attempt.isPrefilling()) {
            attempt.prefill.remove(attempt, nowMicros);
        }
        attempt.phase = progress.phase();
        attempt.outputTokens = Math.max(attempt.outputTokens, progress.outputTokens());
        attempt.reportedMicros = nowMicros;
        growReservation(attempt, nowMicros);
    }

    @Override
    public void withdraw(String attempt, long nowMicros) {
        QueuedRequest waiting = queuedByAttempt.get(attempt);
        if (waiting != null) {
            removeFromQueue(waiting);
        }
        StartedAttempt running = startedByAttempt.get(attempt);
        if (running != null) {
            release(running, nowMicros);
        }
    }

    @Override
    public void updateWorkers(List<PoolWorker> workers, long nowMicros) {
        Set<String> listed = new HashSet<>();
        for (PoolWorker each : workers) {
            listed.add(each.id());
            if (each.role() == WorkerRole.PREFILL) {
                prefills.computeIfAbsent(each.id(), id -> new PrefillState(each)).worker = each;
            } else if (each.role() == WorkerRole.DECODE) {
                decodes.computeIfAbsent(each.id(), id -> new DecodeState(each, estimator.getDecodePieces())).worker =
                        each;
            }
        }
        for (StartedAttempt each : List.copyOf(startedByAttempt.values())) {
            boolean source = listed.contains(each.prefill.worker.id()) || each.isImported();
            if (!source || !listed.contains(each.decode.worker.id())) {
                release(each, nowMicros);
            }
        }
        prefills.keySet().removeIf(id -> !listed.contains(id));
        decodes.keySet().removeIf(id -> !listed.contains(id));
        planDue = true;
    }

    @Override
    public void updateLoad(WorkerLoad load, long nowMicros) {
        PrefillState prefill = prefills.get(load.worker());
        if (prefill != null) {
            prefill.avoidUntilMicros = 0;
        }
        DecodeState decode = decodes.get(load.worker());
        if (decode == null) {
            return;
        }
        decode.avoidUntilMicros = 0;
        decode.totalPieces = load.totalPieces();
        int known = 0;
        boolean hasUntracked = false;
        for (String each : load.attempts()) {
            StartedAttempt attempt = startedByAttempt.get(each);
            if (attempt != null && attempt.decode == decode) {
                known += attempt.pieces;
            } else {
                hasUntracked |= !endedMicros.containsKey(each);
            }
        }
        int used = load.totalPieces() - load.freePieces();
        decode.untrackedPieces = hasUntracked ? Math.max(0, used - known) : 0;
        planDue = true;
    }

    @Override
    public void adopt(
            PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros) {
        boolean ended = progress.phase() != null && progress.phase().isTerminal();
        if (startedByAttempt.containsKey(request.attempt()) || ended) {
            return;
        }
        withdraw(request.attempt(), nowMicros);
        PrefillState prefill = prefills.get(start.prefillWorker());
        DecodeState decode = decodes.get(start.decodeWorker());
        if (decode == null) {
            return;
        }
        PrefillState source = prefill == null ? createUnlistedPrefill(start) : prefill;
        StartedAttempt attempt = new StartedAttempt(
                request,
                source,
                decode,
                start.pieces(),
                estimator.estimatePrefillMicros(request.promptTokens()),
                estimator.estimatePrefillMicros(request.promptTokens()));
        startedByAttempt.put(request.attempt(), attempt);
        decode.add(attempt);
        attempt.reportedMicros = nowMicros;
        if (progress.phase() == null) {
            source.add(attempt, nowMicros);
        } else {
            updateProgress(progress, nowMicros);
        }
    }

    private static PrefillState createUnlistedPrefill(SchedulerDecision.Start start) {
        return new PrefillState(new PoolWorker(start.prefillWorker(), WorkerRole.PREFILL, "", true));
    }

    @Override
    public List<SchedulerDecision> decide(long nowMicros) {
        boolean late = !queue.isEmpty() && queue.first().latestStartMicros() < nowMicros;
        if (planDue || late || nowMicros >= nextPlanMicros) {
            plan(nowMicros);
        }
        startReadyRequests(nowMicros);
        removeExpiredEnded(nowMicros);
        updatePrices(nowMicros);
        wakeMicros = computeNextWakeMicros(nowMicros);
        List<SchedulerDecision> result = List.copyOf(decisions);
        decisions.clear();
        return result;
    }

    @Override
    public OptionalLong getNextWakeMicros() {
        if (!decisions.isEmpty() || planDue) {
            return OptionalLong.of(0);
        }
        return queue.isEmpty() ? OptionalLong.empty() : OptionalLong.of(wakeMicros);
    }

    /** Computes the earliest of the next plan, the next time to send a prefill, and the next latest start. */
    private long computeNextWakeMicros(long now) {
        if (queue.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long wake = Math.min(nextPlanMicros, queue.first().latestStartMicros() + 1);
        for (PrefillState each : prefills.values()) {
            long send = Math.max(each.avoidUntilMicros, each.estimateFreeMicros(now) - tuning.leadMicros());
            wake = send > now ? Math.min(wake, send) : wake;
        }
        return Math.max(now + 1, wake);
    }

    private QueuedRequest estimateRequest(PlacementRequest request, long now) {
        int prompt = request.promptTokens();
        long prefill = estimator.estimatePrefillMicros(prompt);
        long transfer = estimator.estimateTransferMicros(prompt);
        long due = now + request.ttftMillis() * 1000;
        long startDeadline = now + request.maxWaitMillis() * 1000;
        long firstStep = estimator.getNominalStepMicros();
        long latestByTarget = due - prefill - transfer - firstStep - tuning.marginMicros();
        long latestByWait = startDeadline - tuning.leadMicros() - MESSAGE_DELAY_MICROS;
        long latest = request.isolated() ? latestByWait : Math.min(latestByWait, latestByTarget);
        long decode = request.expectedOutputTokens() * estimator.getNominalStepMicros();
        int pieces = estimator.countPiecesToReserve(request);
        long hold = prefill + transfer + decode;
        double decodeCost =
                estimator.computeDecodeCost(request, pieces, prefill + transfer) / Math.max(1, decodes.size());
        double prefillCost = (double) estimateShortestPrefillMicros(request, now) / Math.max(1, prefills.size());
        return new QueuedRequest(request, sequence++, now, due, latest, prefill, hold, pieces, prefillCost, decodeCost);
    }

    private void updatePrices(long now) {
        if (now >= nextPriceMicros) {
            nextPriceMicros = now + PRICE_UPDATE_INTERVAL_MICROS;
            prices.update(now, tuning.capacityFactor());
        }
    }

    private double computeCostToValueRatio(QueuedRequest entry) {
        return prices.computeCostToValueRatio(entry.prefillCost(), entry.decodeCost(), computeValue(entry.request()));
    }

    /** Returns whether the backlog exceeds the share of the request's slack above which the price limit applies. */
    private boolean isBacklogged(QueuedRequest entry, long now) {
        long slack = Math.max(0, entry.latestStartMicros() - now);
        return createPlan(now).estimateBacklogMicros(queue, entry.pieces()) > slack * tuning.pressureShare();
    }

    private void plan(long now) {
        planDue = false;
        nextPlanMicros = now + REPLAN_INTERVAL_MICROS;
        if (queue.isEmpty()) {
            return;
        }
        refuseUnsatisfiable(now);
        AdmissionPlan plan = createPlan(now);
        Optional<QueuedRequest> toShed = plan.findRequestToShed(queue, each -> computeWeightedCost(each, now));
        while (toShed.isPresent()) {
            refuse(toShed.get(), FaultKind.OVERLOADED, plan, "cannot start in time behind the queue");
            toShed = plan.findRequestToShed(queue, each -> computeWeightedCost(each, now));
        }
    }

    private void refuseUnsatisfiable(long now) {
        AdmissionPlan plan = createPlan(now);
        boolean missing = prefills.isEmpty() || decodes.isEmpty();
        for (QueuedRequest each : List.copyOf(queue)) {
            if (missing) {
                refuse(each, FaultKind.UNAVAILABLE, plan, "the pool has no worker of a role");
            } else if (each.latestStartMicros() < now) {
                refuse(each, FaultKind.OVERLOADED, plan, "the latest start has passed");
            } else if (each.pieces() > getLargestDecodePieces()) {
                refuse(each, FaultKind.TOO_LARGE, plan, "no decode worker has that many pieces");
            }
        }
    }

    private int getLargestDecodePieces() {
        return decodes.values().stream()
                .mapToInt(each -> each.totalPieces)
                .max()
                .orElse(0);
    }

    private double computeWeightedCost(QueuedRequest each, long now) {
        double cost = prices.isZero() ? each.getCost() / computeValue(each.request()) : computeCostToValueRatio(each);
        return cost * computeFairnessFactor(each.request(), now);
    }

    /**
     * Computes a factor that is above 1 for a partner with more than an equal share of its class, and below 1 for less.
     */
    private double computeFairnessFactor(PlacementRequest request, long now) {
        double share = Math.max(MIN_SHARE, shares.computeShareRatio(request, now));
        return Math.pow(share, tuning.fairnessExponent());
    }

    private double computeValue(PlacementRequest request) {
        return Math.pow(Math.max(1, request.microsPerToken()), tuning.priceExponent());
    }

    private AdmissionPlan createPlan(long now) {
        long[] free = prefills.values().stream()
                .filter(each -> !each.worker.leaving())
                .mapToLong(each -> Math.max(each.avoidUntilMicros, each.estimateFreeMicros(now)))
                .toArray();
        int pieces = 0;
        for (DecodeState each : decodes.values()) {
            pieces += each.worker.leaving() ? 0 : Math.max(0, each.getFreePieces());
        }
        AdmissionPlan plan = new AdmissionPlan(now, free, pieces);
        for (StartedAttempt each : startedByAttempt.values()) {
            if (!each.decode.worker.leaving()) {
                plan.addRelease(estimateEndMicros(each, now), each.pieces);
            }
        }
        return plan;
    }

    private long estimateEndMicros(StartedAttempt attempt, long now) {
        long step = estimator.estimateStepMicros(attempt.decode.countStreams());
        int left = attempt.request.expectedOutputTokens() - attempt.estimateOutputTokens(now, step);
        return now + Math.max(1, left) * step;
    }

    private void startReadyRequests(long now) {
        for (QueuedRequest each : List.copyOf(queue)) {
            if (each.request().isolated()) {
                startIsolated(each, now);
            } else if (!startShared(each, now)) {
                return;
            }
        }
    }

    /** Starts the request when its best workers are ready; returns false when no prefill worker is ready. */
    private boolean startShared(QueuedRequest entry, long now) {
        PrefillState best = null;
        long bestDone = Long.MAX_VALUE;
        boolean ready = false;
        for (PrefillState each : prefills.values()) {
            if (!each.isAvailable(now) || each.sent.size() >= MAX_SENT_PER_PREFILL_WORKER) {
                continue;
            }
            long free = each.estimateFreeMicros(now);
            ready |= isReady(each, free, now);
            long done =
                    free + estimatePrefillMicros(entry.request(), each, now) + getZonePenaltyMicros(entry, each.worker);
            if (done < bestDone) {
                bestDone = done;
                best = each;
            }
        }
        if (!ready) {
            return false;
        }
        if (!isReady(best, best.estimateFreeMicros(now), now)) {
            return true;
        }
        DecodeState decode = chooseDecodeWorker(entry, best, bestDone, now);
        if (decode != null) {
            start(entry, best, decode, now);
        }
        return true;
    }

    /**
     * Returns whether the worker is about to be free; a prefill that depends on a cache hint may exceed its estimate.
     */
    private boolean isReady(PrefillState prefill, long free, long now) {
        return free - now <= tuning.leadMicros() && (prefill.sent.isEmpty() || !prefill.dependsOnCacheHint());
    }

    private long estimatePrefillMicros(PlacementRequest request, PrefillState prefill, long now) {
        int cached =
                hints.countCachedPieces(prefill.worker.id(), request.prefixHashes(), now) * estimator.getPieceTokens();
        return estimator.estimatePrefillMicros(Math.max(0, request.promptTokens() - cached));
    }

    private long estimateShortestPrefillMicros(PlacementRequest request, long now) {
        long least = estimator.estimatePrefillMicros(request.promptTokens());
        for (PrefillState each : prefills.values()) {
            least = Math.min(least, estimatePrefillMicros(request, each, now));
        }
        return least;
    }

    private static long getZonePenaltyMicros(QueuedRequest entry, PoolWorker worker) {
        return worker.zone().equals(entry.request().zone()) ? 0 : 2_000;
    }

    private DecodeState chooseDecodeWorker(QueuedRequest entry, PrefillState prefill, long prefillDone, long now) {
        DecodeState best = null;
        long bestRank = Long.MAX_VALUE;
        long transfer = estimator.estimateTransferMicros(entry.request().promptTokens());
        for (DecodeState each : decodes.values()) {
            if (!each.isAvailable(now) || each.getFreePieces() < entry.pieces()) {
                continue;
            }
            long begin = Math.max(prefillDone, Math.max(prefill.linkFreeMicros, each.linkFreeMicros));
            if (begin - prefillDone > estimator.getMaxLinkWaitMicros()) {
                continue;
            }
            int streams = each.countStreams() + 1;
            if (estimator.estimateStepMicros(streams) > entry.request().tbtMillis() * 1000) {
                continue;
            }
            long penalty = each.worker.zone().equals(prefill.worker.zone()) ? 0 : 2_000;
            long rank = begin
                    + transfer
                    + penalty
                    + estimator.estimateStepMicros(streams) * 4
                    - each.getFreePieces() * 1_000L;
            if (rank < bestRank) {
                bestRank = rank;
                best = each;
            }
        }
        return best;
    }

    private void start(QueuedRequest entry, PrefillState prefill, DecodeState decode, long now) {
        removeFromQueue(entry);
        PlacementRequest request = entry.request();
        long begin = prefill.estimateFreeMicros(now);
        long work = estimatePrefillMicros(request, prefill, now);
        StartedAttempt attempt =
                new StartedAttempt(request, prefill, decode, entry.pieces(), work, entry.prefillMicros());
        attempt.reportedMicros = now;
        startedByAttempt.put(request.attempt(), attempt);
        prefill.add(attempt, begin);
        decode.add(attempt);
        long transferBegin = Math.max(begin + work, Math.max(prefill.linkFreeMicros, decode.linkFreeMicros));
        long transferEnd = transferBegin + estimator.estimateTransferMicros(request.promptTokens());
        prefill.linkFreeMicros = transferEnd;
        decode.linkFreeMicros = transferEnd;
        hints.recordPrefix(prefill.worker.id(), request.prefixHashes(), now);
        shares.add(request, entry.getCost(), now);
        if (request.isolated()) {
            prefill.isolatedAttempt = request.attempt();
            decode.isolatedAttempt = request.attempt();
        }
        decisions.add(new SchedulerDecision.Start(
                request.attempt(),
                prefill.worker.id(),
                decode.worker.id(),
                entry.pieces(),
                getPriority(entry),
                "slack_millis=" + (entry.latestStartMicros() - now) / 1000 + " queued=" + queue.size()
                        + " free_pieces=" + decode.getFreePieces() + " prefill_micros=" + work + " candidates="
                        + prefills.size() + "x" + decodes.size()));
    }

    private static int getPriority(QueuedRequest entry) {
        long ttft = entry.request().ttftMillis();
        return ttft <= 2_000 ? 9 : ttft <= 15_000 ? 5 : 1;
    }

    /** Dedicates a pair of workers to an isolated request and starts it once both are idle. */
    private void startIsolated(QueuedRequest entry, long now) {
        if (!hasDedicatedPair(entry) && countDedicatedPairs() >= getMaxDedicatedPairs()) {
            return;
        }
        PrefillState prefill = null;
        for (PrefillState each : prefills.values()) {
            boolean usable = entry.attempt().equals(each.isolatedAttempt) || each.isAvailable(now);
            if (usable
                    && (prefill == null
                            || each.estimateFreeMicros(now) < prefill.estimateFreeMicros(now)
                            || isDedicatedTo(entry, each))) {
                prefill = isDedicatedTo(entry, prefill) ? prefill : each;
            }
        }
        DecodeState decode = null;
        long bestIdleMicros = Long.MAX_VALUE;
        for (DecodeState each : decodes.values()) {
            boolean own = entry.attempt().equals(each.isolatedAttempt);
            if (!own && !each.isAvailable(now)) {
                continue;
            }
            long idleMicros = own ? Long.MIN_VALUE : estimateIdleMicros(each, now);
            if (idleMicros < bestIdleMicros) {
                bestIdleMicros = idleMicros;
                decode = each;
            }
        }
        if (prefill == null || decode == null) {
            return;
        }
        prefill.isolatedAttempt = entry.attempt();
        decode.isolatedAttempt = entry.attempt();
        if (prefill.sent.isEmpty() && decode.attempts.isEmpty() && decode.untrackedPieces == 0) {
            start(entry, prefill, decode, now);
        }
    }

    private boolean hasDedicatedPair(QueuedRequest entry) {
        return prefills.values().stream().anyMatch(each -> isDedicatedTo(entry, each));
    }

    private long countDedicatedPairs() {
        return prefills.values().stream()
                .filter(each -> each.isolatedAttempt != null)
                .count();
    }

    /**
     * Gets the maximum number of pairs that may be dedicated at a time. After a crash of a busy worker all requests
     * that it served are suspected; if each got a dedicated pair, the pool would accept no other request until these
     * pairs are idle.
     */
    private int getMaxDedicatedPairs() {
        int pairs = Math.min(prefills.size(), decodes.size());
        return Math.max(1, Math.min(pairs - 1, (pairs + 1) / 2));
    }

    private static boolean isDedicatedTo(QueuedRequest entry, PrefillState prefill) {
        return prefill != null && entry.attempt().equals(prefill.isolatedAttempt);
    }

    private long estimateIdleMicros(DecodeState decode, long now) {
        long last = now;
        for (StartedAttempt each : decode.attempts.values()) {
            last = Math.max(last, estimateEndMicros(each, now));
        }
        return last;
    }

    /**
     * Reserves the pieces that an answer longer than estimated needs. Without free pieces the attempt claims the next
     * ones: the worker gets no new attempts, and its engine lets this one wait. When the attempts of a worker claim too
     * many pieces, the least urgent one, that with the lowest price, is ended.
     */
    private void growReservation(StartedAttempt attempt, long now) {
        DecodeState decode = attempt.decode;
        int missing = countNeededPieces(attempt, GROWTH_LOOKAHEAD_TOKENS) - attempt.pieces - attempt.claimedPieces;
        if (missing <= 0) {
            return;
        }
        decode.claim(attempt, missing);
        decode.grantClaims();
        if (decode.claimedPieces <= MAX_CLAIMED_PIECES) {
            return;
        }
        StartedAttempt cheapest = attempt;
        for (StartedAttempt each : decode.attempts.values()) {
            boolean cheaper = each.request.microsPerToken() < cheapest.request.microsPerToken();
            cheapest = each.claimedPieces > 0 && cheaper ? each : cheapest;
        }
        release(cheapest, now);
        decisions.add(new SchedulerDecision.End(
                cheapest.attempt(), "needs more than " + cheapest.pieces + " pieces and the worker has no free piece"));
    }

    private int countNeededPieces(StartedAttempt attempt, int lookaheadTokens) {
        int output = Math.min(attempt.request.maxOutputTokens(), attempt.outputTokens + lookaheadTokens);
        return estimator.countPieces(attempt.request.promptTokens() + output);
    }

    private void avoidFailedWorker(StartedAttempt attempt, AttemptPhase phase, long now) {
        long until = now + tuning.avoidMicros();
        if (phase == AttemptPhase.PREFILL_FAILED) {
            attempt.prefill.avoidUntilMicros = until;
            hints.removeWorker(attempt.prefill.worker.id());
        } else if (phase == AttemptPhase.DECODE_FAILED || phase == AttemptPhase.TRANSFER_FAILED) {
            attempt.decode.avoidUntilMicros = until;
        } else if (phase == AttemptPhase.MEMORY_REFUSED) {
            attempt.decode.avoidUntilMicros = now + tuning.avoidMicros() / 4;
        }
    }

    private void release(StartedAttempt attempt, long now) {
        startedByAttempt.remove(attempt.attempt());
        attempt.prefill.remove(attempt, now);
        attempt.decode.remove(attempt);
        clearIsolation(attempt.attempt());
        endedMicros.put(attempt.attempt(), now);
        planDue |= !queue.isEmpty();
    }

    private void clearIsolation(String attempt) {
        for (PrefillState each : prefills.values()) {
            each.isolatedAttempt = attempt.equals(each.isolatedAttempt) ? null : each.isolatedAttempt;
        }
        for (DecodeState each : decodes.values()) {
            each.isolatedAttempt = attempt.equals(each.isolatedAttempt) ? null : each.isolatedAttempt;
        }
    }

    private void removeExpiredEnded(long now) {
        endedMicros.values().removeIf(at -> now - at > ENDED_RETENTION_MICROS);
    }

    private void removeFromQueue(QueuedRequest entry) {
        queue.remove(entry);
        queuedByAttempt.remove(entry.attempt());
        if (entry.request().isolated()) {
            clearIsolation(entry.attempt());
        }
    }

    private void refuse(QueuedRequest entry, FaultKind kind, AdmissionPlan plan, String reason) {
        long backlog = plan.estimateBacklogMicros(queue, entry.pieces()) / 1000;
        removeFromQueue(entry);
        long retry = Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, backlog));
        decisions.add(new SchedulerDecision.Refuse(
                entry.attempt(),
                kind,
                retry,
                reason + " queued=" + queue.size() + " pieces=" + entry.pieces() + " workers=" + prefills.size() + "x"
                        + decodes.size()));
    }
}
