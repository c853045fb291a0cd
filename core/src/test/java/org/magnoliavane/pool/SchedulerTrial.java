package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.magnoliavane.config.ModelSettings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Feeds a scheduler with random events and checks its invariants after each.
 */
final class SchedulerTrial {
    private static final AttemptPhase[] FAILURES = {
        AttemptPhase.PREFILL_FAILED,
        AttemptPhase.TRANSFER_FAILED,
        AttemptPhase.MEMORY_REFUSED,
        AttemptPhase.DECODE_FAILED,
        AttemptPhase.CANCELLED
    };

    private final ModelSettings settings;
    private final Random random;
    private final SlackScheduler scheduler;
    private final Map<String, PlacementRequest> waiting = new LinkedHashMap<>();
    private final Map<String, Long> offeredMicros = new HashMap<>();
    private final Map<String, SchedulerDecision.Start> active = new LinkedHashMap<>();
    private final Map<String, PlacementRequest> requests = new HashMap<>();
    private final Map<String, AttemptPhase> phases = new HashMap<>();
    private final List<SchedulerDecision> decisions = new ArrayList<>();
    private List<PoolWorker> workers = SlackSchedulerTest.workers(3, 4);
    private long now;
    private int next;

    SchedulerTrial(ModelSettings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.scheduler = SlackScheduler.of(settings);
        scheduler.updateWorkers(workers, now);
    }

    List<SchedulerDecision> decisions() {
        return decisions;
    }

    void run(int events) {
        for (int i = 0; i < events; i++) {
            advance(random.nextInt(40_000));
            event();
            decide();
        }
    }

    /** Ends all work and checks that every request was decided and that all memory is free again. */
    void finish() {
        workers = SlackSchedulerTest.workers(3, 4);
        scheduler.updateWorkers(workers, now);
        for (int i = 0; i < 200 && !(waiting.isEmpty() && active.isEmpty()); i++) {
            advance(200_000);
            List.copyOf(active.keySet()).forEach(each -> end(each, AttemptPhase.COMPLETED));
            decide();
        }
        assertTrue(waiting.isEmpty(), "undecided: " + waiting.keySet());
        advance(100_000_000);
        int decodes = 4;
        for (int i = 0; i < decodes; i++) {
            offer(settings.decodePieces() * settings.pieceTokens() - 200, 60_000, 50_000, false);
        }
        for (int i = 0; i < 400 && !waiting.isEmpty(); i++) {
            advance(50_000);
            decide();
            active.keySet().forEach(each -> scheduler.updateProgress(progress(each, AttemptPhase.DECODING), now));
        }
        assertEquals(active.size(), decodes, "each decode worker must be able to take a request of its whole memory");
    }

    private void event() {
        int kind = random.nextInt(20);
        if (kind < 9) {
            boolean isolated = random.nextInt(25) == 0;
            long ttft = random.nextInt(3) == 0 ? 900 : 10_000;
            offer(20 + random.nextInt(random.nextInt(6) == 0 ? 15_000 : 3_000), ttft, ttft * 8 / 10, isolated);
        } else if (kind < 17 && !active.isEmpty()) {
            advanceAttempt(pick(active));
        } else if (kind == 17) {
            withdraw();
        } else if (kind == 18 && random.nextInt(10) == 0) {
            replaceWorkers();
        }
    }

    private void offer(int prompt, long ttft, long wait, boolean isolated) {
        String attempt = "a" + next++;
        String partner = "partner-" + random.nextInt(3);
        List<Long> prefix = prompt > 2_048 ? List.of((long) random.nextInt(5)) : List.of();
        PlacementRequest request = SlackSchedulerTest.of(attempt, partner, prompt, ttft, wait, isolated, prefix);
        waiting.put(attempt, request);
        requests.put(attempt, request);
        offeredMicros.put(attempt, now);
        scheduler.offer(request, now);
    }

    private void advanceAttempt(String attempt) {
        AttemptPhase phase = phases.get(attempt);
        if (random.nextInt(20) == 0) {
            end(attempt, FAILURES[random.nextInt(FAILURES.length)]);
            return;
        }
        AttemptPhase following = phase == null ? AttemptPhase.PREFILLED : AttemptPhase.values()[phase.ordinal() + 1];
        if (following == AttemptPhase.COMPLETED) {
            end(attempt, following);
            return;
        }
        phases.put(attempt, following);
        scheduler.updateProgress(progress(attempt, following), now);
    }

    private void withdraw() {
        Map<String, ?> from = random.nextBoolean() ? waiting : active;
        if (!from.isEmpty()) {
            String attempt = pick(from);
            waiting.remove(attempt);
            active.remove(attempt);
            scheduler.withdraw(attempt, now);
        }
    }

    private void replaceWorkers() {
        workers = SlackSchedulerTest.workers(1 + random.nextInt(3), 1 + random.nextInt(4));
        scheduler.updateWorkers(workers, now);
        for (SchedulerDecision.Start each : List.copyOf(active.values())) {
            if (!isListed(each.prefillWorker()) || !isListed(each.decodeWorker())) {
                end(each.attempt(), AttemptPhase.CANCELLED);
            }
        }
    }

    private void end(String attempt, AttemptPhase phase) {
        active.remove(attempt);
        scheduler.updateProgress(progress(attempt, phase), now);
    }

    private AttemptProgress progress(String attempt, AttemptPhase phase) {
        return new AttemptProgress(attempt, phase, 1, 0);
    }

    /** Moves the clock and calls the scheduler at every time that it asks for. */
    private void advance(long micros) {
        long until = now + micros;
        while (true) {
            long wake = Math.max(now + 1, scheduler.getNextWakeMicros().orElse(Long.MAX_VALUE));
            if (wake > until) {
                now = until;
                return;
            }
            now = wake;
            decide();
        }
    }

    private void decide() {
        for (SchedulerDecision each : scheduler.decide(now)) {
            decisions.add(each);
            PlacementRequest request = requests.get(each.attempt());
            assertTrue(waiting.remove(each.attempt()) != null, "not waiting: " + each);
            long waited = now - offeredMicros.get(each.attempt());
            assertTrue(waited <= request.maxWaitMillis() * 1000, each + " after " + waited);
            if (each instanceof SchedulerDecision.Start start) {
                assertNull(active.put(each.attempt(), start));
                phases.remove(each.attempt());
            }
        }
        checkMemory();
        checkIsolation();
    }

    private void checkMemory() {
        Map<String, Integer> used = new HashMap<>();
        active.values().forEach(each -> used.merge(each.decodeWorker(), each.pieces(), Integer::sum));
        used.forEach((worker, pieces) -> assertTrue(pieces <= settings.decodePieces(), worker + " has " + pieces));
    }

    private void checkIsolation() {
        for (SchedulerDecision.Start each : active.values()) {
            if (!requests.get(each.attempt()).isolated()) {
                continue;
            }
            for (SchedulerDecision.Start other : active.values()) {
                boolean shared = other.decodeWorker().equals(each.decodeWorker())
                        || phases.get(each.attempt()) == null
                                && phases.get(other.attempt()) == null
                                && other.prefillWorker().equals(each.prefillWorker());
                assertTrue(other == each || !shared, other + " shares a worker with isolated " + each);
            }
        }
    }

    private boolean isListed(String worker) {
        return workers.stream().anyMatch(each -> each.id().equals(worker));
    }

    private String pick(Map<String, ?> from) {
        List<String> names = List.copyOf(from.keySet());
        return names.get(random.nextInt(names.size()));
    }
}
