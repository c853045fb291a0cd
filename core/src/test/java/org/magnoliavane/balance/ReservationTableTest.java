package org.magnoliavane.balance;

import org.magnoliavane.routing.EngineProfile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ReservationTableTest {
    private ReservationTable table;

    @BeforeMethod
    public void createTable() {
        table = new ReservationTable(3000);
    }

    @Test
    public void reservationsAreGrantedUntilTheLimitIsReached() {
        assertTrue(tryReserve("n1", 1, 5000));
        assertTrue(tryReserve("n2", 1, 5000));
        assertFalse(tryReserve("n3", 1, 5000));
        assertEquals(table.countTokens("w", 0), 10_000);
    }

    /** Guards against overcommitment: eighty nodes see the same free capacity at the same time. */
    @Test
    public void ofEightyConcurrentRequestsOnlyThoseThatFitAreGranted() {
        int granted = 0;
        for (int node = 0; node < 80; node++) {
            granted +=
                    table.tryReserve(new ReservationTable.Request("w", "n" + node, 1, 5600, 37_000, 128, 0), 0) ? 1 : 0;
        }
        assertEquals(granted, 6);
    }

    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{"P", 66, 45_005, 5200, 74}, {"B", 72, 40_036, 5200, 70}};
    }

    /**
     * Guards against workers that crash because the requests that they hold exceed their memory: reservations count a part of
     * the output, and all of it must fit. The loads are those of the two deployments of the hard load milestone.
     */
    @Test(dataProvider = "deployments")
    public void whatAllNodesAreGrantedFitsIntoTheMemoryWithItsWholeOutput(
            String name, int nodes, int capacity, int promptTokens, int outputTokens) {
        EngineProfile engine = new EngineProfile(64, capacity, 500);
        // The mean share of the output that GenerationSize counts.
        int estimate = promptTokens + (int) (0.6 * outputTokens);
        int granted = 0;
        for (int node = 0; node < nodes; node++) {
            for (int id = 1; id <= 3; id++) {
                ReservationTable.Request request = new ReservationTable.Request(
                        "w",
                        "n" + node,
                        id,
                        estimate,
                        engine.getUsableTokens(),
                        engine.slots(),
                        ReservationTable.NO_CLAIM);
                granted += table.tryReserve(request, 0) ? 1 : 0;
            }
        }
        assertTrue(granted >= 7, name + ": granted " + granted);
        assertTrue(granted * (promptTokens + outputTokens) <= capacity, name + ": granted " + granted);
    }

    @Test
    public void aRepeatedRequestGetsNoSecondReservation() {
        assertTrue(tryReserve("n1", 1, 5000));
        assertTrue(tryReserve("n1", 1, 5000));
        assertEquals(table.countTokens("w", 0), 5000);
    }

    @Test
    public void anIdleWorkerGrantsAReservationOfAnySize() {
        assertTrue(tryReserve("n1", 1, 50_000));
        assertFalse(tryReserve("n2", 1, 1));
    }

    @Test
    public void theNumberOfReservationsIsLimitedByTheSlots() {
        assertTrue(table.tryReserve(new ReservationTable.Request("w", "n1", 1, 1, 10_000, 1, 0), 0));
        assertFalse(table.tryReserve(new ReservationTable.Request("w", "n1", 2, 1, 10_000, 1, 0), 0));
    }

    /**
     * Guards against a worker that seems full after its last request has ended: the renewal of a reservation was applied
     * after its release, and held it for another lease.
     */
    @Test
    public void aRenewalThatArrivesAfterTheReleaseDoesNotHoldTheReservation() {
        tryReserve("n1", 1, 6000);
        table.release("w", "n1", 1, 100);
        table.renew(new ReservationTable.Request("w", "n1", 1, 6000, 10_000, 128, 0), 110);
        assertEquals(table.countTokens("w", 120), 0);
        assertTrue(tryReserve("n2", 1, 6000));
    }

    @Test
    public void aReservationThatIsGrantedAgainAfterItsReleaseIsRenewed() {
        tryReserve("n1", 1, 6000);
        table.release("w", "n1", 1, 0);
        assertTrue(tryReserve("n1", 1, 6000));
        table.renew(new ReservationTable.Request("w", "n1", 1, 6000, 10_000, 128, 0), 2000);
        assertEquals(table.countTokens("w", 4000), 6000);
    }

    @Test
    public void releasedCapacityCanBeReservedAgain() {
        tryReserve("n1", 1, 10_000);
        table.release("w", "n1", 1, 0);
        table.release("w", "n1", 1, 0);
        assertTrue(tryReserve("n2", 1, 10_000));
    }

    @Test
    public void aReservationThatIsNotRenewedIsReclaimedAfterItsLease() {
        tryReserve("n1", 1, 10_000);
        assertFalse(table.tryReserve(createRequest("n2", 1, 10_000), 2999));
        assertTrue(table.tryReserve(createRequest("n2", 1, 10_000), 3000));
    }

    @Test
    public void aNewReservationOwnerDiscoversReservationsByTheirRenewal() {
        table.renew(createRequest("n1", 1, 10_000), 0);
        assertFalse(table.tryReserve(createRequest("n2", 1, 5000), 1000));
        table.renew(createRequest("n1", 1, 10_000), 2000);
        assertFalse(table.tryReserve(createRequest("n2", 1, 5000), 4000));
    }

    private boolean tryReserve(String node, long id, int tokens) {
        return table.tryReserve(createRequest(node, id, tokens), 0);
    }

    private static ReservationTable.Request createRequest(String node, long id, int tokens) {
        return new ReservationTable.Request("w", node, id, tokens, 10_000, 128, ReservationTable.NO_CLAIM);
    }
}
