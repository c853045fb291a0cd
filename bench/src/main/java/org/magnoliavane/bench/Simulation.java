package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.PoolWorker;
import org.magnoliavane.pool.SchedulerDecision;
import org.magnoliavane.pool.WorkerLoad;

/**
 * Simulates one workload on modelled engines under one policy.
 *
 * <p>Not thread-safe. An instance simulates one run and cannot be reused.
 */
final class Simulation {
    /** One-way delay of messages between a node and a central scheduler. */
    private static final long COORDINATOR_DELAY_MICROS = 1_000;

    private static final long REPORT_INTERVAL_MICROS = 250_000;
    private static final long REPORT_LAG_MICROS = 250_000;
    /** Age of load reports while the scenario {@link FaultScenario#REPORTS_LATE} is active. */
    private static final long LATE_REPORT_LAG_MICROS = 2_000_000;
    /** Time from the loss of the coordinator until its replacement takes over. */
    private static final long COORDINATOR_TAKEOVER_MICROS = 1_500_000;
    /** Time until the schedulers receive a changed list of workers. */
    private static final long WORKER_LIST_LAG_MICROS = 1_000_000;
    /** Time beyond the expected duration after which a transfer fails. */
    private static final long TRANSFER_TIMEOUT_MICROS = 1_500_000;

    private static final long LINK_STALL_MICROS = 3_000_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final int TOKENS_PER_REPORT = 16;

    private final Deployment deployment;
    private final ModelSettings settings;
    private final Policy policy;
    private final long seed;
    private final FaultScenario faults;
    private final List<Job> jobs;
    private final long durationMicros;
    private final EventLoop loop = new EventLoop();
    private final TransferQueue transfers;
    private final List<PrefillEngine> prefillEngines = new ArrayList<>();
    private final List<DecodeEngine> decodeEngines = new ArrayList<>();
    private final List<SchedulerHost> hosts = new ArrayList<>();
    private final Map<String, Attempt> active = new LinkedHashMap<>();
    private final Map<String, SchedulerDecision.Start> starts = new LinkedHashMap<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private long wastedPrefillMicros;
    private int memoryRefusals;
    private int expiredPrefills;
    private int endedAttempts;

    Simulation(Deployment deployment, Policy policy, List<Job> jobs, long seed, int seconds, FaultScenario faults) {
        this.deployment = deployment;
        this.settings = deployment.settings();
        this.policy = policy;
        this.jobs = jobs;
        this.seed = seed;
        this.faults = faults;
        this.durationMicros = seconds * 1_000_000L;
        this.transfers = new TransferQueue(loop, settings, this::handleImport);
        createEnginesAndHosts();
    }

    /**
     * Generates a workload and simulates it.
     *
     * @param deployment the deployment
     * @param policy the policy
     * @param load the offered load as a multiple of the capacity
     * @param seed the seed of the workload and of the policy
     * @param seconds the length of the run in seconds
     * @param faults the fault scenario
     * @return the measurements of the run
     */
    static RunResult run(
            Deployment deployment, Policy policy, double load, long seed, int seconds, FaultScenario faults) {
        List<Job> jobs = Workload.generate(deployment, load, seed, seconds);
        return new Simulation(deployment, policy, jobs, seed, seconds, faults).run();
    }

    /** Simulates the workload until no event is left and returns the measurements. */
    RunResult run() {
        sendWorkerList();
        for (Job job : jobs) {
            Outcome outcome = new Outcome(job);
            outcomes.add(outcome);
            loop.scheduleAt(job.arrivalMicros(), () -> handleArrival(job));
        }
        loop.scheduleAt(REPORT_INTERVAL_MICROS, this::sendLoadReports);
        scheduleFaults();
        loop.run();
        return createResult();
    }

    private void createEnginesAndHosts() {
        for (int i = 0; i < deployment.prefillWorkers(); i++) {
            prefillEngines.add(new PrefillEngine(
                    "prefill-" + i,
                    deployment.getPrefillZone(i),
                    loop,
                    settings,
                    deployment.prefixCachePieces(),
                    this::handlePrefillCompletion));
        }
        for (int i = 0; i < deployment.decodeWorkers(); i++) {
            decodeEngines.add(
                    new DecodeEngine("decode-" + i, deployment.getDecodeZone(i), loop, settings, this::handleToken));
        }
        int count = policy.central() ? 1 : deployment.nodes();
        for (int i = 0; i < count; i++) {
            hosts.add(new SchedulerHost(
                    loop, policy.central() ? COORDINATOR_DELAY_MICROS : 0, createScheduler(i), this::applyDecision));
        }
    }

    private PoolScheduler createScheduler(int index) {
        return policy.factory().create(deployment, seed * 31 + index);
    }

    private SchedulerHost getHost(Attempt attempt) {
        return hosts.get(attempt.job.node() % hosts.size());
    }

    private void handleArrival(Job job) {
        Attempt attempt = new Attempt(job, 1);
        offer(attempt);
        loop.scheduleAt(job.getFirstTokenDueMicros(), () -> withdrawOverdue(job));
    }

    private void offer(Attempt attempt) {
        active.put(attempt.id, attempt);
        SchedulerHost host = getHost(attempt);
        if (host.hasScheduler()) {
            PlacementRequest request = createRequest(attempt);
            host.send(scheduler -> scheduler.offer(request, loop.getNowMicros()));
        }
    }

    private PlacementRequest createRequest(Attempt attempt) {
        Job job = attempt.job;
        long now = loop.getNowMicros();
        long ttft = (job.getFirstTokenDueMicros() - now) / 1000;
        long wait = (job.arrivalMicros() - now) / 1000 + job.priceClass().maxWaitMillis();
        return new PlacementRequest(
                attempt.id,
                deployment.name(),
                settings.models().get(0),
                job.partner(),
                deployment.getNodeZone(job.node()),
                job.priceClass().name(),
                job.priceClass().microsPerToken(),
                job.promptTokens(),
                job.expectedOutputTokens(),
                job.maxOutputTokens(),
                job.prefixHashes(),
                job.id(),
                Math.max(0, ttft),
                job.priceClass().tbtMillis(),
                Math.max(0, wait),
                false);
    }

    /** Withdraws the attempts of a request whose prefill has not started when its first token is due. */
    private void withdrawOverdue(Job job) {
        for (int number = 1; number <= MAX_ATTEMPTS; number++) {
            Attempt attempt = active.get(job.id() + "-" + number);
            if (attempt != null && attempt.state.compareTo(Attempt.State.PREFILL_QUEUED) <= 0) {
                getHost(attempt).send(scheduler -> scheduler.withdraw(attempt.id, loop.getNowMicros()));
                endAttempt(attempt);
            }
        }
    }

    private void applyDecision(SchedulerDecision decision) {
        Attempt attempt = active.get(decision.attempt());
        if (attempt == null) {
            return;
        }
        if (decision instanceof SchedulerDecision.Start start) {
            startAttempt(attempt, start);
        } else if (decision instanceof SchedulerDecision.Refuse) {
            Outcome outcome = outcomes.get(attempt.job.id());
            outcome.decisionCount++;
            outcome.refusalMicros = loop.getNowMicros() - attempt.job.arrivalMicros();
            endAttempt(attempt);
        } else {
            endedAttempts++;
            endAttempt(attempt);
        }
    }

    private void startAttempt(Attempt attempt, SchedulerDecision.Start start) {
        if (attempt.state != Attempt.State.OFFERED) {
            return;
        }
        outcomes.get(attempt.job.id()).decisionCount++;
        starts.put(attempt.id, start);
        attempt.prefillEngine = getPrefillEngine(start.prefillWorker());
        attempt.decodeEngine = getDecodeEngine(start.decodeWorker());
        attempt.reservedPieces = start.pieces();
        attempt.state = Attempt.State.PREFILL_QUEUED;
        loop.scheduleAfter(getDelayMicros(attempt, attempt.prefillEngine.zone), () -> enqueuePrefill(attempt));
    }

    private void enqueuePrefill(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        if (!attempt.prefillEngine.alive) {
            failAttempt(attempt, AttemptPhase.PREFILL_FAILED);
            return;
        }
        attempt.prefillEngine.enqueue(attempt);
    }

    private void handlePrefillCompletion(Attempt attempt) {
        loop.scheduleAfter(settings.prefillLifetimeMillis() * 1000, () -> expirePrefillResult(attempt));
        loop.scheduleAfter(getDelayMicros(attempt, attempt.prefillEngine.zone), () -> requestDecode(attempt));
    }

    /** Fails an attempt whose transfer has not started before the engine discards the result of its prefill. */
    private void expirePrefillResult(Attempt attempt) {
        boolean waiting = attempt.state == Attempt.State.PREFILLED
                || attempt.state == Attempt.State.TRANSFERRING && !attempt.transferStarted;
        if (waiting) {
            expiredPrefills++;
            failAttempt(attempt, AttemptPhase.TRANSFER_FAILED);
        }
    }

    private void requestDecode(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        sendProgress(attempt, AttemptPhase.PREFILLED);
        loop.scheduleAfter(getDelayMicros(attempt, attempt.decodeEngine.zone), () -> handleDecodeRequest(attempt));
    }

    private void handleDecodeRequest(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        if (!attempt.decodeEngine.alive) {
            failAttempt(attempt, AttemptPhase.DECODE_FAILED);
            return;
        }
        if (!attempt.decodeEngine.reserve(attempt)) {
            memoryRefusals++;
            failAttempt(attempt, AttemptPhase.MEMORY_REFUSED);
            return;
        }
        attempt.state = Attempt.State.TRANSFERRING;
        transfers.enqueue(attempt);
        long expected = EngineTimes.getTransferMicros(settings, attempt.job.promptTokens());
        loop.scheduleAfter(expected + TRANSFER_TIMEOUT_MICROS, () -> {
            if (attempt.state == Attempt.State.TRANSFERRING) {
                failAttempt(attempt, AttemptPhase.TRANSFER_FAILED);
            }
        });
    }

    private void handleImport(Attempt attempt) {
        attempt.decodeEngine.startStream(attempt);
        loop.scheduleAfter(
                getDelayMicros(attempt, attempt.decodeEngine.zone), () -> sendProgress(attempt, AttemptPhase.IMPORTED));
    }

    private void handleToken(Attempt attempt) {
        Outcome outcome = outcomes.get(attempt.job.id());
        long now = loop.getNowMicros();
        long delayToNode = getDelayMicros(attempt, attempt.decodeEngine.zone);
        if (attempt.generatedTokens == 1 && outcome.firstTokenMicros < 0) {
            outcome.firstTokenMicros = now + delayToNode - attempt.job.arrivalMicros();
        } else {
            outcome.maxTokenGapMicros = Math.max(outcome.maxTokenGapMicros, now - attempt.lastTokenMicros);
        }
        attempt.lastTokenMicros = now;
        if (attempt.generatedTokens == attempt.job.outputTokens()) {
            outcome.complete = true;
            loop.scheduleAfter(delayToNode, () -> sendProgress(attempt, AttemptPhase.COMPLETED));
            endAttempt(attempt);
        } else if (attempt.generatedTokens % TOKENS_PER_REPORT == 1) {
            int position = attempt.generatedTokens;
            loop.scheduleAfter(delayToNode, () -> sendProgress(attempt, AttemptPhase.DECODING, position));
        }
    }

    /** Ends an attempt, reports the failure and starts another one if allowed and the first token is not due yet. */
    private void failAttempt(Attempt attempt, AttemptPhase phase) {
        loop.scheduleAfter(
                attempt.decodeEngine == null ? 0 : getDelayMicros(attempt, attempt.decodeEngine.zone),
                () -> sendProgress(attempt, phase));
        endAttempt(attempt);
        boolean retry = attempt.number < MAX_ATTEMPTS && loop.getNowMicros() < attempt.job.getFirstTokenDueMicros();
        if (retry) {
            loop.scheduleAfter(
                    deployment.zoneDelayMicros() + 1, () -> offer(new Attempt(attempt.job, attempt.number + 1)));
        }
    }

    /** Ends an attempt and releases its resources. Its prefill counts as wasted if no token was generated from it. */
    private void endAttempt(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        if (attempt.prefillEngine != null) {
            attempt.prefillEngine.cancel(attempt);
        }
        transfers.cancel(attempt);
        if (attempt.decodeEngine != null) {
            attempt.decodeEngine.release(attempt);
        }
        boolean used = attempt.state == Attempt.State.DECODING && attempt.generatedTokens > 0;
        if (!used) {
            wastedPrefillMicros += attempt.prefillMicros;
        }
        if (attempt.number == 1 && attempt.prefillStartMicros > 0) {
            outcomes.get(attempt.job.id()).prefillWaitMicros = attempt.prefillStartMicros - attempt.job.arrivalMicros();
        }
        attempt.state = Attempt.State.ENDED;
        active.remove(attempt.id);
        starts.remove(attempt.id);
        transfers.startReady();
    }

    private void sendProgress(Attempt attempt, AttemptPhase phase) {
        sendProgress(attempt, phase, attempt.generatedTokens);
    }

    private void sendProgress(Attempt attempt, AttemptPhase phase, int position) {
        AttemptProgress progress = new AttemptProgress(attempt.id, phase, position, attempt.cachedTokens);
        getHost(attempt).send(scheduler -> scheduler.updateProgress(progress, loop.getNowMicros()));
    }

    private long getDelayMicros(Attempt attempt, String zone) {
        return deployment.getDelayMicros(deployment.getNodeZone(attempt.job.node()), zone);
    }

    /** Sends load reports after their lag; while reports are late, half of them are lost. */
    private void sendLoadReports() {
        boolean delayed = faults.includes(FaultScenario.REPORTS_LATE) && isWithinFaultPeriod();
        long lag = delayed ? LATE_REPORT_LAG_MICROS : REPORT_LAG_MICROS;
        int round = (int) (loop.getNowMicros() / REPORT_INTERVAL_MICROS);
        int index = 0;
        for (WorkerLoad each : createLoadReports(lag)) {
            boolean lost = delayed && (round + index++) % 2 == 0;
            if (!lost) {
                loop.scheduleAfter(
                        lag,
                        () -> hosts.forEach(
                                host -> host.send(scheduler -> scheduler.updateLoad(each, loop.getNowMicros()))));
            }
        }
        if (loop.getNowMicros() < durationMicros || !active.isEmpty()) {
            loop.scheduleAfter(REPORT_INTERVAL_MICROS, this::sendLoadReports);
        }
    }

    private List<WorkerLoad> createLoadReports(long lag) {
        List<WorkerLoad> loads = new ArrayList<>();
        for (PrefillEngine each : prefillEngines) {
            if (each.alive) {
                List<String> attempts = each.getAttemptIds();
                loads.add(new WorkerLoad(each.id, lag / 1000, 0, 0, attempts.size(), each.getQueuedTokens(), attempts));
            }
        }
        for (DecodeEngine each : decodeEngines) {
            if (each.alive) {
                loads.add(new WorkerLoad(
                        each.id,
                        lag / 1000,
                        settings.decodePieces(),
                        each.getFreePieces(),
                        each.getStreamCount(),
                        0,
                        each.getAttemptIds()));
            }
        }
        return loads;
    }

    private boolean isWithinFaultPeriod() {
        return loop.getNowMicros() >= durationMicros / 3 && loop.getNowMicros() < durationMicros / 2;
    }

    private void sendWorkerList() {
        List<PoolWorker> workers = listWorkers();
        hosts.forEach(host -> host.send(scheduler -> scheduler.updateWorkers(workers, loop.getNowMicros())));
    }

    private List<PoolWorker> listWorkers() {
        List<PoolWorker> workers = new ArrayList<>();
        prefillEngines.stream()
                .filter(each -> each.alive)
                .forEach(each -> workers.add(new PoolWorker(each.id, WorkerRole.PREFILL, each.zone, false)));
        decodeEngines.stream()
                .filter(each -> each.alive)
                .forEach(each -> workers.add(new PoolWorker(each.id, WorkerRole.DECODE, each.zone, false)));
        return workers;
    }

    private void scheduleFaults() {
        long begin = durationMicros / 3;
        long end = durationMicros / 2;
        if (faults.includes(FaultScenario.PREFILL_LOST)) {
            PrefillEngine engine = prefillEngines.get(0);
            loop.scheduleAt(begin, () -> {
                engine.crash().forEach(each -> failAttempt(each, AttemptPhase.PREFILL_FAILED));
                List.copyOf(active.values()).stream()
                        .filter(each -> each.prefillEngine == engine && isBeforeImport(each))
                        .forEach(each -> failAttempt(each, AttemptPhase.PREFILL_FAILED));
            });
            loop.scheduleAt(begin + WORKER_LIST_LAG_MICROS, this::sendWorkerList);
            loop.scheduleAt(end, () -> engine.alive = true);
            loop.scheduleAt(end + WORKER_LIST_LAG_MICROS, this::sendWorkerList);
        }
        if (faults.includes(FaultScenario.DECODE_LOST)) {
            DecodeEngine engine = decodeEngines.get(0);
            loop.scheduleAt(begin, () -> engine.crash().forEach(each -> failAttempt(each, AttemptPhase.DECODE_FAILED)));
            loop.scheduleAt(begin + WORKER_LIST_LAG_MICROS, this::sendWorkerList);
            loop.scheduleAt(end, () -> engine.alive = true);
            loop.scheduleAt(end + WORKER_LIST_LAG_MICROS, this::sendWorkerList);
        }
        if (faults.includes(FaultScenario.COORDINATOR_LOST) && policy.central()) {
            loop.scheduleAt(begin, () -> hosts.get(0).replaceScheduler(null));
            loop.scheduleAt(begin + COORDINATOR_TAKEOVER_MICROS, this::startReplacementCoordinator);
        }
        if (faults.includes(FaultScenario.LINK_STALLED)) {
            for (int i = 0; i < 3; i++) {
                DecodeEngine engine = decodeEngines.get((i + 1) % decodeEngines.size());
                loop.scheduleAt(
                        begin + i * (end - begin) / 3,
                        () -> engine.stalledUntilMicros = loop.getNowMicros() + LINK_STALL_MICROS);
            }
        }
    }

    private static boolean isBeforeImport(Attempt attempt) {
        return attempt.state == Attempt.State.PREFILLED || attempt.state == Attempt.State.TRANSFERRING;
    }

    /** Starts a new coordinator, which receives the waiting requests again and adopts the started attempts. */
    private void startReplacementCoordinator() {
        SchedulerHost host = hosts.get(0);
        host.replaceScheduler(createScheduler(1));
        sendWorkerList();
        for (Attempt each : List.copyOf(active.values())) {
            PlacementRequest request = createRequest(each);
            SchedulerDecision.Start start = starts.get(each.id);
            if (start == null) {
                host.send(scheduler -> scheduler.offer(request, loop.getNowMicros()));
            } else {
                AttemptProgress progress =
                        new AttemptProgress(each.id, toPhase(each), each.generatedTokens, each.cachedTokens);
                host.send(scheduler -> scheduler.adopt(request, start, progress, loop.getNowMicros()));
            }
        }
    }

    private static AttemptPhase toPhase(Attempt attempt) {
        return switch (attempt.state) {
            case PREFILLED, TRANSFERRING -> AttemptPhase.PREFILLED;
            case DECODING -> AttemptPhase.DECODING;
            default -> null;
        };
    }

    private RunResult createResult() {
        long busyMicros =
                prefillEngines.stream().mapToLong(PrefillEngine::getBusyMicros).sum();
        Histogram decisionNanos = new Histogram(10_000_000_000L, 3);
        hosts.forEach(each -> decisionNanos.add(each.decisionNanos));
        int unreleasedPieces = decodeEngines.stream()
                .mapToInt(each -> settings.decodePieces() - each.getFreePieces())
                .sum();
        double pieceMicros =
                decodeEngines.stream().mapToDouble(DecodeEngine::getPieceMicros).sum();
        return new RunResult(
                deployment,
                List.copyOf(outcomes),
                busyMicros,
                (double) busyMicros / durationMicros / prefillEngines.size(),
                pieceMicros / durationMicros / decodeEngines.size() / settings.decodePieces(),
                wastedPrefillMicros,
                memoryRefusals,
                expiredPrefills,
                endedAttempts,
                unreleasedPieces,
                decisionNanos);
    }

    private PrefillEngine getPrefillEngine(String id) {
        return prefillEngines.stream()
                .filter(each -> each.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    private DecodeEngine getDecodeEngine(String id) {
        return decodeEngines.stream()
                .filter(each -> each.id.equals(id))
                .findFirst()
                .orElseThrow();
    }
}
