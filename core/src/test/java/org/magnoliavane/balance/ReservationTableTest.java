package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.List;

import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
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
            granted += isGranted(table.request("n" + node, 1, demand(5600, 37_000, 128), 0)) ? 1 : 0;
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
                Reply reply =
                        table.request("n" + node, id, demand(estimate, engine.getUsableTokens(), engine.slots()), 0);
                granted += reply == Reply.GRANTED ? 1 : 0;
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
        assertTrue(isGranted(table.request("n1", 1, demand(1, 10_000, 1), 0)));
        assertFalse(isGranted(table.request("n1", 2, demand(1, 10_000, 1), 0)));
    }

    /**
     * Guards against a worker that seems full after its last request has ended: the renewal of a reservation was applied
     * after its release, and held it for another lease.
     */
    @Test
    public void aRenewalThatArrivesAfterTheReleaseDoesNotHoldTheReservation() {
        tryReserve("n1", 1, 6000);
        table.release("w", "n1", 1, 100);
        table.renew("n1", 1, demand(6000, 10_000, 128), 110);
        assertEquals(table.countTokens("w", 120), 0);
        assertTrue(tryReserve("n2", 1, 6000));
    }

    @Test
    public void aReservationThatIsGrantedAgainAfterItsReleaseIsRenewed() {
        tryReserve("n1", 1, 6000);
        table.release("w", "n1", 1, 0);
        assertTrue(tryReserve("n1", 1, 6000));
        table.renew("n1", 1, demand(6000, 10_000, 128), 2000);
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
        assertFalse(isGranted(table.request("n2", 1, demand(10_000, 10_000, 128), 2999)));
        assertTrue(isGranted(table.request("n2", 1, demand(10_000, 10_000, 128), 3000)));
    }

    @Test
    public void aNewReservationOwnerDiscoversReservationsByTheirRenewal() {
        table.renew("n1", 1, demand(10_000, 10_000, 128), 0);
        assertFalse(isGranted(table.request("n2", 1, demand(5000, 10_000, 128), 1000)));
        table.renew("n1", 1, demand(10_000, 10_000, 128), 2000);
        assertFalse(isGranted(table.request("n2", 1, demand(5000, 10_000, 128), 4000)));
    }

    /** Guards against memory that stays reserved for a request that ended while it waited. */
    @Test
    public void aWithdrawnRequestIsNotGranted() {
        tryReserve("n1", 1, 10_000);
        assertEquals(table.request("n2", 1, waiting(5000, 0, 0, 600), 0), Reply.WAITING);
        table.release("w", "n2", 1, 10);
        table.release("w", "n1", 1, 20);
        assertEquals(table.takeGrants("w", 20), List.of());
        assertEquals(table.countTokens("w", 20), 0);
    }

    /** Guards against a request that waits again because a repeat of it arrived after its withdrawal. */
    @Test
    public void aRepeatThatArrivesAfterTheWithdrawalIsRejected() {
        tryReserve("n1", 1, 10_000);
        table.request("n2", 1, waiting(5000, 0, 0, 600), 0);
        table.release("w", "n2", 1, 10);
        assertEquals(table.request("n2", 1, waiting(5000, 0, 0, 600), 20), Reply.REJECTED);
        assertEquals(table.countWaiting(), 0);
    }

    /** Guards against memory that is granted to a node that has failed while its request waited. */
    @Test
    public void aWaitingRequestIsForgottenThatIsNotRepeated() {
        tryReserve("n1", 1, 10_000);
        table.request("n2", 1, waiting(5000, 0, 0, 5000), 0);
        table.request("n3", 1, waiting(5000, 0, 0, 5000), 0);
        table.request("n3", 1, waiting(5000, 0, 0, 5000), 400);
        table.release("w", "n1", 1, 700);
        assertEquals(table.takeGrants("w", 700), List.of(new ReservationTable.Holder("n3", 1)));
    }

    /** Guards against a request that waits on because the datagram with its grant was lost. */
    @Test
    public void aRepeatedRequestLearnsThatItHasBeenGrantedMeanwhile() {
        tryReserve("n1", 1, 10_000);
        table.request("n2", 1, waiting(5000, 0, 0, 600), 0);
        table.release("w", "n1", 1, 10);
        assertEquals(table.takeGrants("w", 10), List.of(new ReservationTable.Holder("n2", 1)));
        assertEquals(table.request("n2", 1, waiting(5000, 200, 0, 400), 200), Reply.GRANTED);
        assertEquals(table.countTokens("w", 200), 5000);
    }

    /** Guards against memory that stays reserved for a lease because the node of a waiting request has failed. */
    @Test
    public void aGrantAfterAWaitIsReclaimedThatItsHolderDoesNotConfirm() {
        tryReserve("n1", 1, 10_000);
        table.request("n2", 1, waiting(10_000, 0, 0, 600), 0);
        table.release("w", "n1", 1, 10);
        table.takeGrants("w", 10);
        assertEquals(table.countTokens("w", 300), 10_000);
        assertEquals(table.countTokens("w", 320), 0);
    }

    @Test
    public void aConfirmedGrantIsHeldForItsLease() {
        tryReserve("n1", 1, 10_000);
        table.request("n2", 1, waiting(10_000, 0, 0, 600), 0);
        table.release("w", "n1", 1, 10);
        table.takeGrants("w", 10);
        table.renew("n2", 1, demand(10_000, 10_000, 128), 20);
        assertEquals(table.countTokens("w", 3000), 10_000);
    }

    /** Guards against new requests that overtake waiting ones by asking at the moment at which memory becomes free. */
    @Test
    public void aNewRequestIsNotGrantedBeforeAWaitingOneOfTheSameUrgency() {
        tryReserve("n1", 1, 10_000);
        table.request("n2", 1, waiting(10_000, 100, 0, 600), 0);
        table.release("w", "n1", 1, 10);
        assertEquals(table.request("n3", 1, waiting(10_000, 0, 0, 600), 10), Reply.WAITING);
        assertEquals(table.takeGrants("w", 10), List.of(new ReservationTable.Holder("n2", 1)));
    }

    @Test
    public void onTimeRequestsPrecedeOverdueOnesAndUrgentOnesOthers() {
        tryReserve("n0", 1, 10_000);
        table.request("overdue", 1, waiting(10_000, 900, 0, 5000), 0);
        table.request("less urgent", 1, waiting(10_000, 300, 1, 5000), 0);
        table.request("younger", 1, waiting(10_000, 100, 0, 5000), 0);
        table.request("older", 1, waiting(10_000, 200, 0, 5000), 0);
        List<String> order = new ArrayList<>();
        String last = "n0";
        for (long now = 1; order.size() < 4; now++) {
            table.release("w", last, 1, now);
            last = table.takeGrants("w", now).get(0).node();
            order.add(last);
        }
        assertEquals(order, List.of("older", "younger", "less urgent", "overdue"));
    }

    /** Guards against a class that starves behind a more urgent one that alone exceeds the capacity. */
    @Test
    public void oneGrantInFourGoesToTheOldestRequest() {
        tryReserve("n0", 1, 10_000);
        for (int i = 1; i <= 40; i++) {
            table.request("n" + i, 1, waiting(10_000, 0, i <= 5 ? 1 : 0, 5000), 0);
        }
        List<Integer> order = new ArrayList<>();
        int last = 0;
        for (int i = 0; i < 20; i++) {
            table.release("w", "n" + last, 1, 1);
            last = Integer.parseInt(table.takeGrants("w", 1).get(0).node().substring(1));
            order.add(last);
        }
        assertEquals(order.stream().filter(n -> n <= 5).toList(), List.of(1, 2, 3, 4, 5));
    }

    private boolean tryReserve(String node, long id, int tokens) {
        return isGranted(table.request(node, id, demand(tokens, 10_000, 128), 0));
    }

    private static boolean isGranted(Reply reply) {
        return reply == Reply.GRANTED;
    }

    private static Demand demand(int tokens, int limitTokens, int slots) {
        return new Demand("w", tokens, limitTokens, slots, 0, 0, 600, 0, true);
    }

    private static Demand waiting(int tokens, long ageMillis, int urgency, long waitMillis) {
        return new Demand("w", tokens, 10_000, 128, urgency, ageMillis, 600 - ageMillis, waitMillis, false);
    }
}
