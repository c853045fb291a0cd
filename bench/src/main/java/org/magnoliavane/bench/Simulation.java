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
 * Plays one workload on the engines with one policy. Not thread-safe; each run needs a new instance.
 */
final class Simulation {
    private static final long COORDINATOR_DELAY = 1_000;
    private static final long REPORT_INTERVAL = 250_000;
    private static final long REPORT_LAG = 250_000;
    private static final long LATE_REPORT_LAG = 2_000_000;
    private static final long TAKEOVER = 1_500_000;
    private static final long LIST_LAG = 1_000_000;
    private static final long TRANSFER_TIMEOUT = 1_500_000;
    private static final long STALL = 3_000_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final int TOKENS_PER_REPORT = 16;

    private final Deployment deployment;
    private final ModelSettings settings;
    private final Policy policy;
    private final long seed;
    private final Faults faults;
    private final List<Job> jobs;
    private final long horizonMicros;
    private final EventLoop loop = new EventLoop();
    private final Transfers transfers;
    private final List<PrefillEngine> prefills = new ArrayList<>();
    private final List<DecodeEngine> decodes = new ArrayList<>();
    private final List<SchedulerHost> hosts = new ArrayList<>();
    private final Map<String, Attempt> active = new LinkedHashMap<>();
    private final Map<String, SchedulerDecision.Start> starts = new LinkedHashMap<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private long wastedMicros;
    private int memoryRefusals;
    private int lapses;
    private int ends;

    Simulation(Deployment deployment, Policy policy, List<Job> jobs, long seed, int seconds, Faults faults) {
        this.deployment = deployment;
        this.settings = deployment.settings();
        this.policy = policy;
        this.jobs = jobs;
        this.seed = seed;
        this.faults = faults;
        this.horizonMicros = seconds * 1_000_000L;
        this.transfers = new Transfers(loop, settings, this::imported);
        build();
    }

    static RunResult run(Deployment deployment, Policy policy, double load, long seed, int seconds, Faults faults) {
        List<Job> jobs = Workload.draw(deployment, load, seed, seconds);
        return new Simulation(deployment, policy, jobs, seed, seconds, faults).run();
    }

    RunResult run() {
        workersChanged();
        for (Job job : jobs) {
            Outcome outcome = new Outcome(job);
            outcomes.add(outcome);
            loop.at(job.arrivalMicros(), () -> arrive(job));
        }
        loop.at(REPORT_INTERVAL, this::report);
        scheduleFaults();
        loop.run();
        return result();
    }

    private void build() {
        for (int i = 0; i < deployment.prefillWorkers(); i++) {
            prefills.add(new PrefillEngine(
                    "prefill-" + i,
                    deployment.zoneOfPrefill(i),
                    loop,
                    settings,
                    deployment.prefixCachePieces(),
                    this::prefilled));
        }
        for (int i = 0; i < deployment.decodeWorkers(); i++) {
            decodes.add(new DecodeEngine("decode-" + i, deployment.zoneOfDecode(i), loop, settings, this::token));
        }
        int count = policy.central() ? 1 : deployment.nodes();
        for (int i = 0; i < count; i++) {
            hosts.add(new SchedulerHost(loop, policy.central() ? COORDINATOR_DELAY : 0, create(i), this::decided));
        }
    }

    private PoolScheduler create(int index) {
        return policy.factory().create(deployment, seed * 31 + index);
    }

    private SchedulerHost hostOf(Attempt attempt) {
        return hosts.get(attempt.job.node() % hosts.size());
    }

    private void arrive(Job job) {
        Attempt attempt = new Attempt(job, 1);
        offer(attempt);
        loop.at(job.dueMicros(), () -> due(job));
    }

    private void offer(Attempt attempt) {
        active.put(attempt.id, attempt);
        SchedulerHost host = hostOf(attempt);
        if (host.isUp()) {
            PlacementRequest request = request(attempt);
            host.send(to -> to.offer(request, loop.now()));
        }
    }

    private PlacementRequest request(Attempt attempt) {
        Job job = attempt.job;
        long now = loop.now();
        long ttft = (job.dueMicros() - now) / 1000;
        long wait = (job.arrivalMicros() - now) / 1000 + job.priceClass().maxWaitMillis();
        return new PlacementRequest(
                attempt.id,
                deployment.name(),
                settings.models().get(0),
                job.partner(),
                deployment.zoneOfNode(job.node()),
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

    /** Gives up what still waits for its prefill when its first token is due. */
    private void due(Job job) {
        for (int number = 1; number <= MAX_ATTEMPTS; number++) {
            Attempt attempt = active.get(job.id() + "-" + number);
            if (attempt != null && attempt.state.compareTo(Attempt.State.PREFILL_QUEUED) <= 0) {
                hostOf(attempt).send(to -> to.withdraw(attempt.id, loop.now()));
                end(attempt);
            }
        }
    }

    private void decided(SchedulerDecision decision) {
        Attempt attempt = active.get(decision.attempt());
        if (attempt == null) {
            return;
        }
        if (decision instanceof SchedulerDecision.Start start) {
            started(attempt, start);
        } else if (decision instanceof SchedulerDecision.Refuse) {
            Outcome outcome = outcomes.get(attempt.job.id());
            outcome.decisions++;
            outcome.refusedMicros = loop.now() - attempt.job.arrivalMicros();
            end(attempt);
        } else {
            ends++;
            end(attempt);
        }
    }

    private void started(Attempt attempt, SchedulerDecision.Start start) {
        if (attempt.state != Attempt.State.OFFERED) {
            return;
        }
        outcomes.get(attempt.job.id()).decisions++;
        starts.put(attempt.id, start);
        attempt.source = find(start.prefillWorker());
        attempt.target = findDecode(start.decodeWorker());
        attempt.reservedPieces = start.pieces();
        attempt.state = Attempt.State.PREFILL_QUEUED;
        loop.after(delay(attempt, attempt.source.zone), () -> prefillArrives(attempt));
    }

    private void prefillArrives(Attempt attempt) {
        if (attempt.isOver()) {
            return;
        }
        if (!attempt.source.alive) {
            fail(attempt, AttemptPhase.PREFILL_FAILED);
            return;
        }
        attempt.source.enqueue(attempt);
    }

    private void prefilled(Attempt attempt) {
        loop.after(settings.prefillLifetimeMillis() * 1000, () -> lapse(attempt));
        loop.after(delay(attempt, attempt.source.zone), () -> askDecode(attempt));
    }

    private void lapse(Attempt attempt) {
        boolean waits = attempt.state == Attempt.State.PREFILLED
                || attempt.state == Attempt.State.TRANSFERRING && !attempt.transferBegun;
        if (waits) {
            lapses++;
            fail(attempt, AttemptPhase.TRANSFER_FAILED);
        }
    }

    private void askDecode(Attempt attempt) {
        if (attempt.isOver()) {
            return;
        }
        progress(attempt, AttemptPhase.PREFILLED);
        loop.after(delay(attempt, attempt.target.zone), () -> decodeArrives(attempt));
    }

    private void decodeArrives(Attempt attempt) {
        if (attempt.isOver()) {
            return;
        }
        if (!attempt.target.alive) {
            fail(attempt, AttemptPhase.DECODE_FAILED);
            return;
        }
        if (!attempt.target.reserve(attempt)) {
            memoryRefusals++;
            fail(attempt, AttemptPhase.MEMORY_REFUSED);
            return;
        }
        attempt.state = Attempt.State.TRANSFERRING;
        transfers.request(attempt);
        long expected = EngineTimes.transfer(settings, attempt.job.promptTokens());
        loop.after(expected + TRANSFER_TIMEOUT, () -> {
            if (attempt.state == Attempt.State.TRANSFERRING) {
                fail(attempt, AttemptPhase.TRANSFER_FAILED);
            }
        });
    }

    private void imported(Attempt attempt) {
        attempt.target.join(attempt);
        loop.after(delay(attempt, attempt.target.zone), () -> progress(attempt, AttemptPhase.IMPORTED));
    }

    private void token(Attempt attempt) {
        Outcome outcome = outcomes.get(attempt.job.id());
        long now = loop.now();
        long atNode = delay(attempt, attempt.target.zone);
        if (attempt.position == 1 && outcome.firstTokenMicros < 0) {
            outcome.firstTokenMicros = now + atNode - attempt.job.arrivalMicros();
        } else {
            outcome.maxGapMicros = Math.max(outcome.maxGapMicros, now - attempt.lastTokenMicros);
        }
        attempt.lastTokenMicros = now;
        if (attempt.position == attempt.job.outputTokens()) {
            outcome.complete = true;
            loop.after(atNode, () -> progress(attempt, AttemptPhase.COMPLETED));
            end(attempt);
        } else if (attempt.position % TOKENS_PER_REPORT == 1) {
            int position = attempt.position;
            loop.after(atNode, () -> progress(attempt, AttemptPhase.DECODING, position));
        }
    }

    private void fail(Attempt attempt, AttemptPhase phase) {
        loop.after(attempt.target == null ? 0 : delay(attempt, attempt.target.zone), () -> progress(attempt, phase));
        end(attempt);
        boolean again = attempt.number < MAX_ATTEMPTS && loop.now() < attempt.job.dueMicros();
        if (again) {
            loop.after(deployment.zoneDelayMicros() + 1, () -> offer(new Attempt(attempt.job, attempt.number + 1)));
        }
    }

    /** Ends an attempt and frees what it holds. */
    private void end(Attempt attempt) {
        if (attempt.isOver()) {
            return;
        }
        if (attempt.source != null) {
            attempt.source.cancel(attempt);
        }
        transfers.drop(attempt);
        if (attempt.target != null) {
            attempt.target.release(attempt);
        }
        boolean used = attempt.state == Attempt.State.DECODING && attempt.position > 0;
        if (!used) {
            wastedMicros += attempt.prefillMicros;
        }
        if (attempt.number == 1 && attempt.prefillStartMicros > 0) {
            outcomes.get(attempt.job.id()).waitedMicros = attempt.prefillStartMicros - attempt.job.arrivalMicros();
        }
        attempt.state = Attempt.State.OVER;
        active.remove(attempt.id);
        starts.remove(attempt.id);
        transfers.startReady();
    }

    private void progress(Attempt attempt, AttemptPhase phase) {
        progress(attempt, phase, attempt.position);
    }

    private void progress(Attempt attempt, AttemptPhase phase, int position) {
        AttemptProgress progress = new AttemptProgress(attempt.id, phase, position, attempt.cachedTokens);
        hostOf(attempt).send(to -> to.updateProgress(progress, loop.now()));
    }

    private long delay(Attempt attempt, String zone) {
        return deployment.delayMicros(deployment.zoneOfNode(attempt.job.node()), zone);
    }

    private void report() {
        boolean late = faults.has(Faults.REPORTS_LATE) && inFaultTime();
        long lag = late ? LATE_REPORT_LAG : REPORT_LAG;
        int round = (int) (loop.now() / REPORT_INTERVAL);
        int index = 0;
        for (WorkerLoad each : loads(lag)) {
            boolean missing = late && (round + index++) % 2 == 0;
            if (!missing) {
                loop.after(lag, () -> hosts.forEach(host -> host.send(to -> to.updateLoad(each, loop.now()))));
            }
        }
        if (loop.now() < horizonMicros || !active.isEmpty()) {
            loop.after(REPORT_INTERVAL, this::report);
        }
    }

    private List<WorkerLoad> loads(long lag) {
        List<WorkerLoad> loads = new ArrayList<>();
        for (PrefillEngine each : prefills) {
            if (each.alive) {
                List<String> attempts = each.attempts();
                loads.add(new WorkerLoad(each.id, lag / 1000, 0, 0, attempts.size(), each.queuedTokens(), attempts));
            }
        }
        for (DecodeEngine each : decodes) {
            if (each.alive) {
                loads.add(new WorkerLoad(
                        each.id,
                        lag / 1000,
                        settings.decodePieces(),
                        each.freePieces(),
                        each.running(),
                        0,
                        each.attempts()));
            }
        }
        return loads;
    }

    private boolean inFaultTime() {
        return loop.now() >= horizonMicros / 3 && loop.now() < horizonMicros / 2;
    }

    private void workersChanged() {
        List<PoolWorker> workers = workers();
        hosts.forEach(host -> host.send(to -> to.updateWorkers(workers, loop.now())));
    }

    private List<PoolWorker> workers() {
        List<PoolWorker> workers = new ArrayList<>();
        prefills.stream()
                .filter(each -> each.alive)
                .forEach(each -> workers.add(new PoolWorker(each.id, WorkerRole.PREFILL, each.zone, false)));
        decodes.stream()
                .filter(each -> each.alive)
                .forEach(each -> workers.add(new PoolWorker(each.id, WorkerRole.DECODE, each.zone, false)));
        return workers;
    }

    private void scheduleFaults() {
        long begin = horizonMicros / 3;
        long end = horizonMicros / 2;
        if (faults.has(Faults.PREFILL_LOST)) {
            PrefillEngine engine = prefills.get(0);
            loop.at(begin, () -> {
                engine.crash().forEach(each -> fail(each, AttemptPhase.PREFILL_FAILED));
                List.copyOf(active.values()).stream()
                        .filter(each -> each.source == engine && isBeforeImport(each))
                        .forEach(each -> fail(each, AttemptPhase.PREFILL_FAILED));
            });
            loop.at(begin + LIST_LAG, this::workersChanged);
            loop.at(end, () -> engine.alive = true);
            loop.at(end + LIST_LAG, this::workersChanged);
        }
        if (faults.has(Faults.DECODE_LOST)) {
            DecodeEngine engine = decodes.get(0);
            loop.at(begin, () -> engine.crash().forEach(each -> fail(each, AttemptPhase.DECODE_FAILED)));
            loop.at(begin + LIST_LAG, this::workersChanged);
            loop.at(end, () -> engine.alive = true);
            loop.at(end + LIST_LAG, this::workersChanged);
        }
        if (faults.has(Faults.COORDINATOR_LOST) && policy.central()) {
            loop.at(begin, () -> hosts.get(0).replace(null));
            loop.at(begin + TAKEOVER, this::takeOver);
        }
        if (faults.has(Faults.LINK_STALLED)) {
            for (int i = 0; i < 3; i++) {
                DecodeEngine engine = decodes.get((i + 1) % decodes.size());
                loop.at(begin + i * (end - begin) / 3, () -> engine.stalledUntilMicros = loop.now() + STALL);
            }
        }
    }

    private static boolean isBeforeImport(Attempt attempt) {
        return attempt.state == Attempt.State.PREFILLED || attempt.state == Attempt.State.TRANSFERRING;
    }

    private void takeOver() {
        SchedulerHost host = hosts.get(0);
        host.replace(create(1));
        workersChanged();
        for (Attempt each : List.copyOf(active.values())) {
            PlacementRequest request = request(each);
            SchedulerDecision.Start start = starts.get(each.id);
            if (start == null) {
                host.send(to -> to.offer(request, loop.now()));
            } else {
                AttemptProgress progress = new AttemptProgress(each.id, phase(each), each.position, each.cachedTokens);
                host.send(to -> to.adopt(request, start, progress, loop.now()));
            }
        }
    }

    private static AttemptPhase phase(Attempt attempt) {
        return switch (attempt.state) {
            case PREFILLED, TRANSFERRING -> AttemptPhase.PREFILLED;
            case DECODING -> AttemptPhase.DECODING;
            default -> null;
        };
    }

    private RunResult result() {
        long worked = prefills.stream().mapToLong(PrefillEngine::workedMicros).sum();
        Histogram nanos = new Histogram(10_000_000_000L, 3);
        hosts.forEach(each -> nanos.add(each.nanos));
        int held = decodes.stream()
                .mapToInt(each -> settings.decodePieces() - each.freePieces())
                .sum();
        double used = decodes.stream().mapToDouble(DecodeEngine::pieceMicros).sum();
        return new RunResult(
                deployment,
                List.copyOf(outcomes),
                worked,
                (double) worked / horizonMicros / prefills.size(),
                used / horizonMicros / decodes.size() / settings.decodePieces(),
                wastedMicros,
                memoryRefusals,
                lapses,
                ends,
                held,
                nanos);
    }

    private PrefillEngine find(String id) {
        return prefills.stream().filter(each -> each.id.equals(id)).findFirst().orElseThrow();
    }

    private DecodeEngine findDecode(String id) {
        return decodes.stream().filter(each -> each.id.equals(id)).findFirst().orElseThrow();
    }
}
