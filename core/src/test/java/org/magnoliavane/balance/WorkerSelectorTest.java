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

    private WorkerLoadTracker ledger;
    private WorkerSelector placement;

    @BeforeMethod
    public void createPlacement() {
        ledger = new WorkerLoadTracker(() -> {});
        placement = new WorkerSelector(ledger, "here", () -> 0.5);
    }

    @Test
    public void thePlainWorkerWithTheSmallestShareOfItsSlotsInUseIsChosen() {
        ledger.start("a", 0);
        ledger.start("a", 0);
        ledger.start("b", 0);
        assertEquals(plain(Set.of()), "b");
    }

    @Test
    public void whatOtherNodesSentCounts() {
        ledger.updatePeerLoads("peer", Map.of("a", new WorkerLoadTracker.Load(5, 0, 0)), NOW);
        assertEquals(plain(Set.of()), "b");
    }

    @Test
    public void aReportThatIsTooOldNoLongerCounts() {
        ledger.updatePeerLoads("peer", Map.of("a", new WorkerLoadTracker.Load(5, 0, 0)), NOW - 3000);
        ledger.start("b", 0);
        assertEquals(plain(Set.of()), "a");
    }

    @Test
    public void aLeavingWorkerIsNeverChosen() {
        List<ListedWorker> workers = List.of(worker("a", WorkerRole.PLAIN, "here", true));
        assertTrue(placement.choosePlain(workers, Set.of(), NOW).isEmpty());
    }

    @Test
    public void aWorkerThatFailsOftenIsLeftAloneUntilItsRateHasDecayed() {
        for (int i = 0; i < 5; i++) {
            ledger.outcome("a", 1, NOW);
            ledger.start("b", 0);
        }
        assertEquals(plain(Set.of()), "b");
        assertTrue(ledger.isUnhealthy("a", NOW));
        assertTrue(!ledger.isUnhealthy("a", NOW + 10_000));
    }

    @Test
    public void aSuspendedWorkerIsTriedWhenAllAreSuspended() {
        ledger.suspend("a", NOW + 1000);
        ledger.suspend("b", NOW + 1000);
        ledger.start("b", 0);
        assertEquals(plain(Set.of()), "a");
    }

    @Test
    public void theZoneDecidesBetweenWorkersThatAreEquallyUsed() {
        List<ListedWorker> workers = List.of(
                worker("far", WorkerRole.PLAIN, "there", false), worker("near", WorkerRole.PLAIN, "here", false));
        assertEquals(placement.choosePlain(workers, Set.of(), NOW).orElseThrow().id(), "near");
    }

    /** Memory is the scarce thing of a decode worker: nine typical requests fill one of Wellenbund's. */
    @Test
    public void aDecodeWorkerWithoutRoomInMemoryGetsNothing() {
        List<ListedWorker> workers = decoders();
        fill("a", 9, 5600);
        fill("b", 8, 5600);
        assertEquals(
                placement
                        .chooseDecode(workers, ENGINE, 5500, Set.of(), NOW)
                        .orElseThrow()
                        .id(),
                "b");
        ledger.start("b", 5500);
        assertTrue(placement.chooseDecode(workers, ENGINE, 5500, Set.of(), NOW).isEmpty());
    }

    @Test
    public void aRequestLargerThanTheShareOfMemoryRunsOnAnEmptyWorker() {
        assertTrue(placement
                .chooseDecode(decoders(), ENGINE, 53_000, Set.of(), NOW)
                .isPresent());
    }

    /** Other nodes may fill a worker of which this node knows nothing; asking it again at once would never end. */
    @Test
    public void aWorkerThatDeniedRoomIsNotChosenAgainForAMomentEvenIfItLooksEmpty() {
        ledger.markFull("a", NOW + 30);
        ledger.markFull("b", NOW + 30);
        assertTrue(
                placement.chooseDecode(decoders(), ENGINE, 5500, Set.of(), NOW).isEmpty());
        assertTrue(placement
                .chooseDecode(decoders(), ENGINE, 5500, Set.of(), NOW + 31)
                .isPresent());
    }

    /** While healthy workers are full, requests wait; trying one that refuses connections only wastes the prefill. */
    @Test
    public void aSuspendedDecodeWorkerIsNotTriedWhileAHealthyOneIsFull() {
        fill("a", 10, 5600);
        ledger.suspend("b", NOW + 1000);
        assertTrue(
                placement.chooseDecode(decoders(), ENGINE, 5500, Set.of(), NOW).isEmpty());
    }

    @Test
    public void thePrefillWorkerWithTheFewestTokensWaitingIsChosen() {
        List<ListedWorker> workers =
                List.of(worker("a", WorkerRole.PREFILL, "here", false), worker("b", WorkerRole.PREFILL, "here", false));
        ledger.start("a", 9000);
        ledger.start("b", 5000);
        assertEquals(
                placement
                        .choosePrefill(workers, Set.of(), "here", NOW)
                        .orElseThrow()
                        .id(),
                "b");
    }

    @Test
    public void aPrefillWorkerInTheZoneOfTheDecodeWorkerIsPreferredAmongEquals() {
        List<ListedWorker> workers = List.of(
                worker("a", WorkerRole.PREFILL, "here", false), worker("b", WorkerRole.PREFILL, "there", false));
        assertEquals(
                placement
                        .choosePrefill(workers, Set.of(), "there", NOW)
                        .orElseThrow()
                        .id(),
                "b");
    }

    @Test
    public void eachRoleGetsOnlyItsOwnWork() {
        List<ListedWorker> workers = List.of(worker("p", WorkerRole.PREFILL, "here", false));
        assertTrue(placement.choosePlain(workers, Set.of(), NOW).isEmpty());
        assertTrue(placement.chooseDecode(workers, ENGINE, 100, Set.of(), NOW).isEmpty());
        assertTrue(placement.choosePrefill(decoders(), Set.of(), "here", NOW).isEmpty());
    }

    @Test
    public void whatHasEndedNoLongerCounts() {
        ledger.start("a", 5000);
        ledger.end("a", 5000);
        assertEquals(ledger.countRequests("a", NOW), 0);
        assertEquals(ledger.countTokens("a", NOW), 0);
        assertTrue(ledger.getOwnLoads(NOW).isEmpty());
    }

    private String plain(Set<String> excluded) {
        List<ListedWorker> workers =
                List.of(worker("a", WorkerRole.PLAIN, "here", false), worker("b", WorkerRole.PLAIN, "here", false));
        return placement.choosePlain(workers, excluded, NOW).orElseThrow().id();
    }

    private static List<ListedWorker> decoders() {
        return List.of(worker("a", WorkerRole.DECODE, "here", false), worker("b", WorkerRole.DECODE, "here", false));
    }

    private void fill(String worker, int requests, int tokens) {
        for (int i = 0; i < requests; i++) {
            ledger.start(worker, tokens);
        }
    }

    private static ListedWorker worker(String id, WorkerRole role, String zone, boolean leaving) {
        return new ListedWorker(new BackendServer(id, "s", role, "127.0.0.1", 80, zone, leaving), 6, 1);
    }
}
