package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.routing.EngineProfile;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ScoredWorkersTest {
    private static final long NOW = 100_000;
    private static final int DRAWS = 10_000;

    private final WorkerLoadTracker tracker = new WorkerLoadTracker(() -> {});

    @DataProvider
    public static Object[][] fleets() {
        return new Object[][] {{3}, {30}};
    }

    /** Guards against an explanation that states another choice than requests see. */
    @Test(dataProvider = "fleets")
    public void theProbabilitiesAgreeWithTheChoices(int nodes) {
        Random random = new Random(7);
        WorkerLoadTracker loads = new WorkerLoadTracker(() -> {});
        List<ListedWorker> workers = IntStream.range(0, 8)
                .mapToObj(i -> createWorker("w" + i, 100, false))
                .toList();
        for (int node = 0; node < nodes; node++) {
            loads.updatePeerLoads("n" + node, Map.of(), NOW);
        }
        workers.forEach(w -> {
            double speed = 0.5 + random.nextDouble();
            loads.getSpeeds()
                    .updatePeerMeasurements("n1", Map.of(w.id(), new WorkerSpeeds.Measurement(speed, 20)), NOW);
            IntStream.range(0, random.nextInt(12)).forEach(i -> loads.recordStart(w.id(), 0));
        });
        WorkerSelector selector = new WorkerSelector(loads, "here", random::nextDouble);
        Map<String, Double> probabilities =
                selector.scorePlain(workers, Set.of(), NOW).computeProbabilities();
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            chosen.merge(
                    selector.choose(selector.scorePlain(workers, Set.of(), NOW))
                            .orElseThrow()
                            .id(),
                    1,
                    Integer::sum);
        }
        assertEquals(probabilities.values().stream().mapToDouble(p -> p).sum(), 1, 1e-9);
        workers.forEach(w ->
                assertEquals(chosen.getOrDefault(w.id(), 0) / (double) DRAWS, probabilities.get(w.id()), 0.03, w.id()));
    }

    /** Guards against equal workers of which the explanation names only one. */
    @Test
    public void equallyLoadedWorkersOfASmallFleetAreChosenWithTheSameProbability() {
        List<ListedWorker> workers = List.of(createWorker("a", 6, false), createWorker("b", 6, false));
        WorkerSelector selector = new WorkerSelector(tracker, "here", () -> 0.5);
        assertEquals(selector.scorePlain(workers, Set.of(), NOW).computeProbabilities(), Map.of("a", 0.5, "b", 0.5));
    }

    /** Guards against a worker that gets no requests without a stated reason. */
    @Test
    public void eachReasonNotToChooseAWorkerIsStated() {
        EngineProfile engine = new EngineProfile(3, 10_000, 500);
        Map<Exclusion, ListedWorker> workers = EnumSet.range(Exclusion.LEAVING, Exclusion.NO_FREE_SLOT).stream()
                .collect(Collectors.toMap(
                        e -> e,
                        e -> new ListedWorker(
                                new BackendServer(
                                        e.name(), "s", WorkerRole.DECODE, "h", 80, "here", e == Exclusion.DRAINING),
                                3,
                                1)));
        ListedWorker free =
                new ListedWorker(new BackendServer("free", "s", WorkerRole.DECODE, "h", 80, "here", false), 3, 1);
        tracker.getNotices().recordLeaving(workers.get(Exclusion.LEAVING), NOW);
        tracker.getNotices().close(workers.get(Exclusion.CLOSED), 500, NOW);
        tracker.suspend(Exclusion.UNHEALTHY.name(), NOW + 500);
        tracker.markFull(Exclusion.MARKED_FULL.name(), NOW + 500);
        tracker.recordStart(Exclusion.NO_FREE_MEMORY.name(), 9000);
        IntStream.range(0, 3).forEach(i -> tracker.recordStart(Exclusion.NO_FREE_SLOT.name(), 1));
        List<ListedWorker> all = new ArrayList<>(workers.values());
        all.add(free);
        WorkerSelector selector = new WorkerSelector(tracker, "here", () -> 0.5);
        ScoredWorkers scored = selector.scoreDecode(all, engine, 1000, Set.of(Exclusion.ALREADY_TRIED.name()), NOW);
        assertEquals(scored.workers().size(), all.size());
        scored.workers().stream()
                .filter(s -> !s.worker().equals(free))
                .forEach(s -> assertEquals(
                        s.exclusion(), Optional.of(Exclusion.valueOf(s.worker().id()))));
        assertEquals(scored.computeProbabilities(), Map.of("free", 1.0));
    }

    private static ListedWorker createWorker(String id, int slots, boolean draining) {
        return new ListedWorker(
                new BackendServer(id, "s", WorkerRole.PLAIN, "127.0.0.1", 80, "here", draining), slots, 1);
    }
}
