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
 * Admits and starts requests by the slack to their targets, with decode memory reserved before each prefill.
 *
 * <p>Deterministic. Not thread-safe. Times are in microseconds.
 */
public final class SlackScheduler implements PoolScheduler {
    private static final long REPLAN_MICROS = 50_000;
    private static final long ENDED_MEMORY_MICROS = 10_000_000;
    private static final long PRICE_MICROS = 500_000;
    private static final int MAX_SENT_PER_PREFILL = 2;
    /** The time between a decision and the arrival of the prefill at its worker, and of the offer before. */
    private static final long MESSAGE_MICROS = 5_000;

    private static final int GROWTH_AHEAD_TOKENS = 48;
    /** The most pieces that answers of one worker may wait for; more could leave all of them waiting for each other. */
    private static final int MAX_CLAIMED_PIECES = 2;

    private static final double MIN_SHARE = 0.1;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 60_000;

    private static final Comparator<QueuedRequest> BY_SLACK =
            Comparator.comparingLong(QueuedRequest::latestStartMicros).thenComparingLong(QueuedRequest::sequence);

    private final WorkModel model;
    private final SchedulerTuning tuning;
    private final Map<String, PrefillState> prefills = new LinkedHashMap<>();
    private final Map<String, DecodeState> decodes = new LinkedHashMap<>();
    private final TreeSet<QueuedRequest> queue = new TreeSet<>(BY_SLACK);
    private final Map<String, QueuedRequest> queued = new HashMap<>();
    private final Map<String, StartedAttempt> started = new LinkedHashMap<>();
    private final LinkedHashMap<String, Long> ended = new LinkedHashMap<>();
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
        this.model = new WorkModel(settings, tuning);
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
        if (queued.containsKey(request.attempt()) || started.containsKey(request.attempt())) {
            return;
        }
        QueuedRequest entry = estimate(request, nowMicros);
        shares.add(request, 0, nowMicros);
        updatePrices(nowMicros);
        prices.add(nowMicros, entry.prefillCost(), entry.decodeCost(), value(request));
        boolean costly = costOverValue(entry) * fairnessFactor(request, nowMicros) > tuning.priceLimit();
        if (costly && !request.isolated() && isPressed(entry, nowMicros)) {
            refuse(entry, FaultKind.OVERLOADED, snapshot(nowMicros), "costs more than several others");
            return;
        }
        queue.add(entry);
        queued.put(entry.attempt(), entry);
        planDue = true;
    }

    @Override
    public void updateProgress(AttemptProgress progress, long nowMicros) {
        StartedAttempt attempt = started.get(progress.attempt());
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
        grow(attempt, nowMicros);
    }

    @Override
    public void withdraw(String attempt, long nowMicros) {
        QueuedRequest waiting = queued.get(attempt);
        if (waiting != null) {
            unqueue(waiting);
        }
        StartedAttempt running = started.get(attempt);
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
                decodes.computeIfAbsent(each.id(), id -> new DecodeState(each, model.decodePieces())).worker = each;
            }
        }
        for (StartedAttempt each : List.copyOf(started.values())) {
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
        boolean foreign = false;
        for (String each : load.attempts()) {
            StartedAttempt attempt = started.get(each);
            if (attempt != null && attempt.decode == decode) {
                known += attempt.pieces;
            } else {
                foreign |= !ended.containsKey(each);
            }
        }
        int taken = load.totalPieces() - load.freePieces();
        decode.foreignPieces = foreign ? Math.max(0, taken - known) : 0;
        planDue = true;
    }

    @Override
    public void adopt(
            PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros) {
        boolean over = progress.phase() != null && progress.phase().isTerminal();
        if (started.containsKey(request.attempt()) || over) {
            return;
        }
        withdraw(request.attempt(), nowMicros);
        PrefillState prefill = prefills.get(start.prefillWorker());
        DecodeState decode = decodes.get(start.decodeWorker());
        if (decode == null) {
            return;
        }
        PrefillState source = prefill == null ? lostPrefill(start) : prefill;
        StartedAttempt attempt = new StartedAttempt(
                request,
                source,
                decode,
                start.pieces(),
                model.prefillMicros(request.promptTokens()),
                model.prefillMicros(request.promptTokens()));
        started.put(request.attempt(), attempt);
        decode.add(attempt);
        attempt.reportedMicros = nowMicros;
        if (progress.phase() == null) {
            source.add(attempt, nowMicros);
        } else {
            updateProgress(progress, nowMicros);
        }
    }

    private static PrefillState lostPrefill(SchedulerDecision.Start start) {
        return new PrefillState(new PoolWorker(start.prefillWorker(), WorkerRole.PREFILL, "", true));
    }

    @Override
    public List<SchedulerDecision> decide(long nowMicros) {
        boolean late = !queue.isEmpty() && queue.first().latestStartMicros() < nowMicros;
        if (planDue || late || nowMicros >= nextPlanMicros) {
            plan(nowMicros);
        }
        startReady(nowMicros);
        forgetEnded(nowMicros);
        updatePrices(nowMicros);
        wakeMicros = nextWake(nowMicros);
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

    /** Finds the time of the next plan, of the next prefill worker to be fed, or of the next latest start. */
    private long nextWake(long now) {
        if (queue.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long wake = Math.min(nextPlanMicros, queue.first().latestStartMicros() + 1);
        for (PrefillState each : prefills.values()) {
            long feed = Math.max(each.avoidUntilMicros, each.freeMicros(now) - tuning.leadMicros());
            wake = feed > now ? Math.min(wake, feed) : wake;
        }
        return Math.max(now + 1, wake);
    }

    private QueuedRequest estimate(PlacementRequest request, long now) {
        int prompt = request.promptTokens();
        long prefill = model.prefillMicros(prompt);
        long transfer = model.transferMicros(prompt);
        long due = now + request.ttftMillis() * 1000;
        long bound = now + request.maxWaitMillis() * 1000;
        long firstStep = model.usualStepMicros();
        long onTime = due - prefill - transfer - firstStep - tuning.marginMicros();
        long startBound = bound - tuning.leadMicros() - MESSAGE_MICROS;
        long latest = request.isolated() ? startBound : Math.min(startBound, onTime);
        long decode = request.expectedOutputTokens() * model.usualStepMicros();
        int pieces = model.piecesToReserve(request);
        long hold = prefill + transfer + decode;
        double decodeCost = model.decodeCost(request, pieces, prefill + transfer) / Math.max(1, decodes.size());
        double prefillCost = (double) leastPrefillMicros(request, now) / Math.max(1, prefills.size());
        return new QueuedRequest(request, sequence++, now, due, latest, prefill, hold, pieces, prefillCost, decodeCost);
    }

    private void updatePrices(long now) {
        if (now >= nextPriceMicros) {
            nextPriceMicros = now + PRICE_MICROS;
            prices.update(now, tuning.capacityFactor());
        }
    }

    private double costOverValue(QueuedRequest entry) {
        return prices.costOverValue(entry.prefillCost(), entry.decodeCost(), value(entry.request()));
    }

    /** Says whether the backlog takes too much of the slack for a request that is not worth its cost. */
    private boolean isPressed(QueuedRequest entry, long now) {
        long slack = Math.max(0, entry.latestStartMicros() - now);
        return snapshot(now).backlogMicros(queue, entry.pieces()) > slack * tuning.pressureShare();
    }

    private void plan(long now) {
        planDue = false;
        nextPlanMicros = now + REPLAN_MICROS;
        if (queue.isEmpty()) {
            return;
        }
        refuseImpossible(now);
        AdmissionPlan plan = snapshot(now);
        Optional<QueuedRequest> victim = plan.findVictim(queue, each -> weightedCost(each, now));
        while (victim.isPresent()) {
            refuse(victim.get(), FaultKind.OVERLOADED, plan, "cannot start in time behind the queue");
            victim = plan.findVictim(queue, each -> weightedCost(each, now));
        }
    }

    private void refuseImpossible(long now) {
        AdmissionPlan plan = snapshot(now);
        boolean missing = prefills.isEmpty() || decodes.isEmpty();
        for (QueuedRequest each : List.copyOf(queue)) {
            if (missing) {
                refuse(each, FaultKind.UNAVAILABLE, plan, "the pool has no worker of a role");
            } else if (each.latestStartMicros() < now) {
                refuse(each, FaultKind.OVERLOADED, plan, "the latest start has passed");
            } else if (each.pieces() > largestDecode()) {
                refuse(each, FaultKind.TOO_LARGE, plan, "no decode worker has that many pieces");
            }
        }
    }

    private int largestDecode() {
        return decodes.values().stream()
                .mapToInt(each -> each.totalPieces)
                .max()
                .orElse(0);
    }

    private double weightedCost(QueuedRequest each, long now) {
        double cost = prices.isZero() ? each.cost() / value(each.request()) : costOverValue(each);
        return cost * fairnessFactor(each.request(), now);
    }

    /** Gets a factor above 1 for a partner that had more than an equal share of its class, and below 1 for one with less. */
    private double fairnessFactor(PlacementRequest request, long now) {
        double share = Math.max(MIN_SHARE, shares.ratio(request, now));
        return Math.pow(share, tuning.fairnessExponent());
    }

    private double value(PlacementRequest request) {
        return Math.pow(Math.max(1, request.microsPerToken()), tuning.priceExponent());
    }

    private AdmissionPlan snapshot(long now) {
        long[] free = prefills.values().stream()
                .filter(each -> !each.worker.leaving())
                .mapToLong(each -> Math.max(each.avoidUntilMicros, each.freeMicros(now)))
                .toArray();
        int pieces = 0;
        for (DecodeState each : decodes.values()) {
            pieces += each.worker.leaving() ? 0 : Math.max(0, each.freePieces());
        }
        AdmissionPlan plan = new AdmissionPlan(now, free, pieces);
        for (StartedAttempt each : started.values()) {
            if (!each.decode.worker.leaving()) {
                plan.addRelease(endMicros(each, now), each.pieces);
            }
        }
        return plan;
    }

    private long endMicros(StartedAttempt attempt, long now) {
        long step = model.stepMicros(attempt.decode.streams());
        int left = attempt.request.expectedOutputTokens() - attempt.outputAt(now, step);
        return now + Math.max(1, left) * step;
    }

    private void startReady(long now) {
        for (QueuedRequest each : List.copyOf(queue)) {
            if (each.request().isolated()) {
                startIsolated(each, now);
            } else if (!startShared(each, now)) {
                return;
            }
        }
    }

    /** Starts the request when its best workers are ready; returns false when no prefill worker is. */
    private boolean startShared(QueuedRequest entry, long now) {
        PrefillState best = null;
        long bestDone = Long.MAX_VALUE;
        boolean ready = false;
        for (PrefillState each : prefills.values()) {
            if (!each.isOpen(now) || each.sent.size() >= MAX_SENT_PER_PREFILL) {
                continue;
            }
            long free = each.freeMicros(now);
            ready |= isReady(each, free, now);
            long done = free + prefillMicros(entry.request(), each, now) + zonePenalty(entry, each.worker);
            if (done < bestDone) {
                bestDone = done;
                best = each;
            }
        }
        if (!ready) {
            return false;
        }
        if (!isReady(best, best.freeMicros(now), now)) {
            return true;
        }
        DecodeState decode = chooseDecode(entry, best, bestDone, now);
        if (decode != null) {
            start(entry, best, decode, now);
        }
        return true;
    }

    /** Says whether the worker is free soon; one whose prefill relies on a cache hint may take longer than expected. */
    private boolean isReady(PrefillState prefill, long free, long now) {
        return free - now <= tuning.leadMicros() && (prefill.sent.isEmpty() || !prefill.reliesOnHint());
    }

    private long prefillMicros(PlacementRequest request, PrefillState prefill, long now) {
        int cached = hints.cachedPieces(prefill.worker.id(), request.prefixHashes(), now) * model.pieceTokens();
        return model.prefillMicros(Math.max(0, request.promptTokens() - cached));
    }

    private long leastPrefillMicros(PlacementRequest request, long now) {
        long least = model.prefillMicros(request.promptTokens());
        for (PrefillState each : prefills.values()) {
            least = Math.min(least, prefillMicros(request, each, now));
        }
        return least;
    }

    private static long zonePenalty(QueuedRequest entry, PoolWorker worker) {
        return worker.zone().equals(entry.request().zone()) ? 0 : 2_000;
    }

    private DecodeState chooseDecode(QueuedRequest entry, PrefillState prefill, long prefillDone, long now) {
        DecodeState best = null;
        long bestRank = Long.MAX_VALUE;
        long transfer = model.transferMicros(entry.request().promptTokens());
        for (DecodeState each : decodes.values()) {
            if (!each.isOpen(now) || each.freePieces() < entry.pieces()) {
                continue;
            }
            long begin = Math.max(prefillDone, Math.max(prefill.linkFreeMicros, each.linkFreeMicros));
            if (begin - prefillDone > model.longestLinkWaitMicros()) {
                continue;
            }
            int streams = each.streams() + 1;
            if (model.stepMicros(streams) > entry.request().tbtMillis() * 1000) {
                continue;
            }
            long penalty = each.worker.zone().equals(prefill.worker.zone()) ? 0 : 2_000;
            long rank = begin + transfer + penalty + model.stepMicros(streams) * 4 - each.freePieces() * 1_000L;
            if (rank < bestRank) {
                bestRank = rank;
                best = each;
            }
        }
        return best;
    }

    private void start(QueuedRequest entry, PrefillState prefill, DecodeState decode, long now) {
        unqueue(entry);
        PlacementRequest request = entry.request();
        long begin = prefill.freeMicros(now);
        long work = prefillMicros(request, prefill, now);
        StartedAttempt attempt =
                new StartedAttempt(request, prefill, decode, entry.pieces(), work, entry.prefillMicros());
        attempt.reportedMicros = now;
        started.put(request.attempt(), attempt);
        prefill.add(attempt, begin);
        decode.add(attempt);
        long transferBegin = Math.max(begin + work, Math.max(prefill.linkFreeMicros, decode.linkFreeMicros));
        long transferEnd = transferBegin + model.transferMicros(request.promptTokens());
        prefill.linkFreeMicros = transferEnd;
        decode.linkFreeMicros = transferEnd;
        hints.learn(prefill.worker.id(), request.prefixHashes(), now);
        shares.add(request, entry.cost(), now);
        if (request.isolated()) {
            prefill.isolated = request.attempt();
            decode.isolated = request.attempt();
        }
        decisions.add(new SchedulerDecision.Start(
                request.attempt(),
                prefill.worker.id(),
                decode.worker.id(),
                entry.pieces(),
                priority(entry),
                "slack_millis=" + (entry.latestStartMicros() - now) / 1000 + " queued=" + queue.size()
                        + " free_pieces=" + decode.freePieces() + " prefill_micros=" + work + " candidates="
                        + prefills.size() + "x" + decodes.size()));
    }

    private static int priority(QueuedRequest entry) {
        long ttft = entry.request().ttftMillis();
        return ttft <= 2_000 ? 9 : ttft <= 15_000 ? 5 : 1;
    }

    /** Sets a pair of workers apart and starts the request once both are empty. */
    private void startIsolated(QueuedRequest entry, long now) {
        if (!ownsPair(entry) && countPairsSetApart() >= getMostPairsSetApart()) {
            return;
        }
        PrefillState prefill = null;
        for (PrefillState each : prefills.values()) {
            boolean usable = entry.attempt().equals(each.isolated) || each.isOpen(now);
            if (usable && (prefill == null || each.freeMicros(now) < prefill.freeMicros(now) || owns(entry, each))) {
                prefill = owns(entry, prefill) ? prefill : each;
            }
        }
        DecodeState decode = null;
        long bestEmpty = Long.MAX_VALUE;
        for (DecodeState each : decodes.values()) {
            boolean own = entry.attempt().equals(each.isolated);
            if (!own && !each.isOpen(now)) {
                continue;
            }
            long empty = own ? Long.MIN_VALUE : emptyMicros(each, now);
            if (empty < bestEmpty) {
                bestEmpty = empty;
                decode = each;
            }
        }
        if (prefill == null || decode == null) {
            return;
        }
        prefill.isolated = entry.attempt();
        decode.isolated = entry.attempt();
        if (prefill.sent.isEmpty() && decode.held.isEmpty() && decode.foreignPieces == 0) {
            start(entry, prefill, decode, now);
        }
    }

    private boolean ownsPair(QueuedRequest entry) {
        return prefills.values().stream().anyMatch(each -> owns(entry, each));
    }

    private long countPairsSetApart() {
        return prefills.values().stream().filter(each -> each.isolated != null).count();
    }

    /**
     * Gets how many pairs may be set apart at a time. A crash of a busy worker makes suspects of all that it served; if
     * each set a pair apart, they would close the pool to everything else while they wait for their pairs to be empty.
     */
    private int getMostPairsSetApart() {
        int pairs = Math.min(prefills.size(), decodes.size());
        return Math.max(1, Math.min(pairs - 1, (pairs + 1) / 2));
    }

    private static boolean owns(QueuedRequest entry, PrefillState prefill) {
        return prefill != null && entry.attempt().equals(prefill.isolated);
    }

    private long emptyMicros(DecodeState decode, long now) {
        long last = now;
        for (StartedAttempt each : decode.held.values()) {
            last = Math.max(last, endMicros(each, now));
        }
        return last;
    }

    /**
     * Takes the pieces that an answer beyond its estimate needs. Without free pieces the answer claims the next ones,
     * which stops new work on the worker; its engine lets it wait. When too many answers wait for each other, the least
     * urgent one is ended.
     */
    private void grow(StartedAttempt attempt, long now) {
        DecodeState decode = attempt.decode;
        int missing = neededPieces(attempt, GROWTH_AHEAD_TOKENS) - attempt.pieces - attempt.claimedPieces;
        if (missing <= 0) {
            return;
        }
        decode.claim(attempt, missing);
        decode.settleClaims();
        if (decode.claimedPieces <= MAX_CLAIMED_PIECES) {
            return;
        }
        StartedAttempt victim = attempt;
        for (StartedAttempt each : decode.held.values()) {
            boolean lower = each.request.microsPerToken() < victim.request.microsPerToken();
            victim = each.claimedPieces > 0 && lower ? each : victim;
        }
        release(victim, now);
        decisions.add(new SchedulerDecision.End(
                victim.attempt(), "outgrew " + victim.pieces + " pieces and the worker has no free piece"));
    }

    private int neededPieces(StartedAttempt attempt, int aheadTokens) {
        int output = Math.min(attempt.request.maxOutputTokens(), attempt.outputTokens + aheadTokens);
        return model.pieces(attempt.request.promptTokens() + output);
    }

    private void avoidFailedWorker(StartedAttempt attempt, AttemptPhase phase, long now) {
        long until = now + tuning.avoidMicros();
        if (phase == AttemptPhase.PREFILL_FAILED) {
            attempt.prefill.avoidUntilMicros = until;
            hints.forget(attempt.prefill.worker.id());
        } else if (phase == AttemptPhase.DECODE_FAILED || phase == AttemptPhase.TRANSFER_FAILED) {
            attempt.decode.avoidUntilMicros = until;
        } else if (phase == AttemptPhase.MEMORY_REFUSED) {
            attempt.decode.avoidUntilMicros = now + tuning.avoidMicros() / 4;
        }
    }

    private void release(StartedAttempt attempt, long now) {
        started.remove(attempt.attempt());
        attempt.prefill.remove(attempt, now);
        attempt.decode.remove(attempt);
        freeIsolation(attempt.attempt());
        ended.put(attempt.attempt(), now);
        planDue |= !queue.isEmpty();
    }

    private void freeIsolation(String attempt) {
        for (PrefillState each : prefills.values()) {
            each.isolated = attempt.equals(each.isolated) ? null : each.isolated;
        }
        for (DecodeState each : decodes.values()) {
            each.isolated = attempt.equals(each.isolated) ? null : each.isolated;
        }
    }

    private void forgetEnded(long now) {
        ended.values().removeIf(at -> now - at > ENDED_MEMORY_MICROS);
    }

    private void unqueue(QueuedRequest entry) {
        queue.remove(entry);
        queued.remove(entry.attempt());
        if (entry.request().isolated()) {
            freeIsolation(entry.attempt());
        }
    }

    private void refuse(QueuedRequest entry, FaultKind kind, AdmissionPlan plan, String reason) {
        long backlog = plan.backlogMicros(queue, entry.pieces()) / 1000;
        unqueue(entry);
        long retry = Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, backlog));
        decisions.add(new SchedulerDecision.Refuse(
                entry.attempt(),
                kind,
                retry,
                reason + " queued=" + queue.size() + " pieces=" + entry.pieces() + " workers=" + prefills.size() + "x"
                        + decodes.size()));
    }
}
