package org.magnoliavane.balance;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.routing.EngineProfile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class WorkerSelectorTest {
    private static final EngineProfile ENGINE = new EngineProfile(128, 53_213, 500);
    private static final long NOW = 100_000;

    private WorkerLoadTracker tracker;
    private WorkerSelector selector;

    @BeforeMethod
    public void createSelector() {
        tracker = new WorkerLoadTracker(() -> {});
        selector = new WorkerSelector(tracker, "here", () -> 0.5);
    }

    @Test
    public void thePlainWorkerWithTheSmallestShareOfItsSlotsInUseIsChosen() {
        tracker.recordStart("a", 0);
        tracker.recordStart("a", 0);
        tracker.recordStart("b", 0);
        assertEquals(choosePlain(Set.of()), "b");
    }

    @Test
    public void requestsOfOtherNodesCount() {
        tracker.updatePeerLoads("peer", Map.of("a", new WorkerLoadTracker.Load(5, 0, 0)), NOW);
        assertEquals(choosePlain(Set.of()), "b");
    }

    @Test
    public void anExpiredReportOfAnotherNodeIsIgnored() {
        tracker.updatePeerLoads("peer", Map.of("a", new WorkerLoadTracker.Load(5, 0, 0)), NOW - 3000);
        tracker.recordStart("b", 0);
        assertEquals(choosePlain(Set.of()), "a");
    }

    @Test
    public void aDrainingWorkerIsNeverChosen() {
        List<ListedWorker> workers = List.of(createWorker("a", WorkerRole.PLAIN, "here", true));
        assertTrue(selector.choose(selector.scorePlain(workers, Set.of(), NOW)).isEmpty());
    }

    @Test
    public void aWorkerThatFailsOftenIsNotChosenUntilItsFailureRateHasDecayed() {
        for (int i = 0; i < 5; i++) {
            tracker.recordOutcome("a", 1, NOW);
            tracker.recordStart("b", 0);
        }
        assertEquals(choosePlain(Set.of()), "b");
        assertTrue(tracker.isUnhealthy("a", NOW));
        assertTrue(!tracker.isUnhealthy("a", NOW + 10_000));
    }

    @Test
    public void aSuspendedWorkerIsChosenIfAllAreSuspended() {
        tracker.suspend("a", NOW + 1000);
        tracker.suspend("b", NOW + 1000);
        tracker.recordStart("b", 0);
        assertEquals(choosePlain(Set.of()), "a");
    }

    @Test
    public void theLocalZoneIsPreferredAmongEquallyLoadedWorkers() {
        List<ListedWorker> workers = List.of(
                createWorker("far", WorkerRole.PLAIN, "there", false),
                createWorker("near", WorkerRole.PLAIN, "here", false));
        assertEquals(
                selector.choose(selector.scorePlain(workers, Set.of(), NOW))
                        .orElseThrow()
                        .id(),
                "near");
    }

    /** Memory limits a decode worker: nine typical requests fill a worker at Wellenbund. */
    @Test
    public void aDecodeWorkerWithoutFreeMemoryIsNotChosen() {
        List<ListedWorker> workers = createDecodeWorkers();
        startRequests("a", 9, 5600);
        startRequests("b", 8, 5600);
        assertEquals(
                selector.choose(selector.scoreDecode(workers, ENGINE, 5500, Set.of(), NOW))
                        .orElseThrow()
                        .id(),
                "b");
        tracker.recordStart("b", 5500);
        assertTrue(selector.choose(selector.scoreDecode(workers, ENGINE, 5500, Set.of(), NOW))
                .isEmpty());
    }

    @Test
    public void aRequestLargerThanTheUsableMemoryRunsOnAnIdleWorker() {
        assertTrue(selector.choose(selector.scoreDecode(createDecodeWorkers(), ENGINE, 53_000, Set.of(), NOW))
                .isPresent());
    }

    /**
     * Guards against an endless loop of refused requests: other nodes may fill a worker whose load this node does not know
     * yet, and the worker would be chosen again at once.
     */
    @Test
    public void aWorkerMarkedAsFullIsNotChosenUntilTheMarkExpires() {
        tracker.markFull("a", NOW + 30);
        tracker.markFull("b", NOW + 30);
        assertTrue(selector.choose(selector.scoreDecode(createDecodeWorkers(), ENGINE, 5500, Set.of(), NOW))
                .isEmpty());
        assertTrue(selector.choose(selector.scoreDecode(createDecodeWorkers(), ENGINE, 5500, Set.of(), NOW + 31))
                .isPresent());
    }

    /** Requests wait while the healthy workers are full: a worker that refuses connections only wastes the prefill. */
    @Test
    public void aSuspendedDecodeWorkerIsNotChosenWhileAHealthyOneIsFull() {
        startRequests("a", 10, 5600);
        tracker.suspend("b", NOW + 1000);
        assertTrue(selector.choose(selector.scoreDecode(createDecodeWorkers(), ENGINE, 5500, Set.of(), NOW))
                .isEmpty());
    }

    @Test
    public void thePrefillWorkerWithTheFewestQueuedTokensIsChosen() {
        List<ListedWorker> workers = List.of(
                createWorker("a", WorkerRole.PREFILL, "here", false),
                createWorker("b", WorkerRole.PREFILL, "here", false));
        tracker.recordStart("a", 9000);
        tracker.recordStart("b", 5000);
        assertEquals(
                selector.choosePrefill(workers, Set.of(), "here", NOW)
                        .orElseThrow()
                        .id(),
                "b");
    }

    @Test
    public void aPrefillWorkerInTheZoneOfTheDecodeWorkerIsPreferredAmongEquallyLoadedOnes() {
        List<ListedWorker> workers = List.of(
                createWorker("a", WorkerRole.PREFILL, "here", false),
                createWorker("b", WorkerRole.PREFILL, "there", false));
        assertEquals(
                selector.choosePrefill(workers, Set.of(), "there", NOW)
                        .orElseThrow()
                        .id(),
                "b");
    }

    @Test
    public void aWorkerIsChosenOnlyForItsOwnRole() {
        List<ListedWorker> workers = List.of(createWorker("p", WorkerRole.PREFILL, "here", false));
        assertTrue(selector.choose(selector.scorePlain(workers, Set.of(), NOW)).isEmpty());
        assertTrue(selector.choose(selector.scoreDecode(workers, ENGINE, 100, Set.of(), NOW))
                .isEmpty());
        assertTrue(selector.choosePrefill(createDecodeWorkers(), Set.of(), "here", NOW)
                .isEmpty());
    }

    @Test
    public void anEndedRequestNoLongerCounts() {
        tracker.recordStart("a", 5000);
        tracker.recordEnd("a", 5000);
        assertEquals(tracker.countRequests("a", NOW), 0);
        assertEquals(tracker.countTokens("a", NOW), 0);
        assertTrue(tracker.getOwnLoads(NOW).isEmpty());
    }

    private String choosePlain(Set<String> excluded) {
        List<ListedWorker> workers = List.of(
                createWorker("a", WorkerRole.PLAIN, "here", false), createWorker("b", WorkerRole.PLAIN, "here", false));
        return selector.choose(selector.scorePlain(workers, excluded, NOW))
                .orElseThrow()
                .id();
    }

    private static List<ListedWorker> createDecodeWorkers() {
        return List.of(
                createWorker("a", WorkerRole.DECODE, "here", false),
                createWorker("b", WorkerRole.DECODE, "here", false));
    }

    private void startRequests(String worker, int requests, int tokens) {
        for (int i = 0; i < requests; i++) {
            tracker.recordStart(worker, tokens);
        }
    }

    private static ListedWorker createWorker(String id, WorkerRole role, String zone, boolean draining) {
        return new ListedWorker(new BackendServer(id, "s", role, "127.0.0.1", 80, zone, draining), 6, 1);
    }
}
