package org.magnoliavane.balance;

import org.testng.annotations.BeforeMethod;
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
    public void roomIsGivenUntilTheLimitIsReached() {
        assertTrue(take("n1", 1, 5000));
        assertTrue(take("n2", 1, 5000));
        assertFalse(take("n3", 1, 5000));
        assertEquals(table.countTokens("w", 0), 10_000);
    }

    /** Eighty nodes see the same free room at the same moment; only as many get it as fit. */
    @Test
    public void ofEightyNodesThatAskAtOnceOnlyThoseThatFitGetRoom() {
        int granted = 0;
        for (int node = 0; node < 80; node++) {
            granted += table.tryReserve(new ReservationTable.Request("w", "n" + node, 1, 5600, 37_000, 128), 0) ? 1 : 0;
        }
        assertEquals(granted, 6);
    }

    @Test
    public void aRepeatedRequestTakesNoSecondRoom() {
        assertTrue(take("n1", 1, 5000));
        assertTrue(take("n1", 1, 5000));
        assertEquals(table.countTokens("w", 0), 5000);
    }

    @Test
    public void anEmptyWorkerTakesARequestOfAnySize() {
        assertTrue(take("n1", 1, 50_000));
        assertFalse(take("n2", 1, 1));
    }

    @Test
    public void theNumberOfRequestsIsLimitedToo() {
        assertTrue(table.tryReserve(new ReservationTable.Request("w", "n1", 1, 1, 10_000, 1), 0));
        assertFalse(table.tryReserve(new ReservationTable.Request("w", "n1", 2, 1, 10_000, 1), 0));
    }

    @Test
    public void roomThatIsGivenBackCanBeTakenAgain() {
        take("n1", 1, 10_000);
        table.release("w", "n1", 1);
        table.release("w", "n1", 1);
        assertTrue(take("n2", 1, 10_000));
    }

    @Test
    public void roomOfANodeThatDiedIsTakenBackAfterItsLease() {
        take("n1", 1, 10_000);
        assertFalse(table.tryReserve(request("n2", 1, 10_000), 2999));
        assertTrue(table.tryReserve(request("n2", 1, 10_000), 3000));
    }

    @Test
    public void aNewStewardLearnsOfRoomByItsRenewal() {
        table.renew(request("n1", 1, 10_000), 0);
        assertFalse(table.tryReserve(request("n2", 1, 5000), 1000));
        table.renew(request("n1", 1, 10_000), 2000);
        assertFalse(table.tryReserve(request("n2", 1, 5000), 4000));
    }

    private boolean take(String node, long id, int tokens) {
        return table.tryReserve(request(node, id, tokens), 0);
    }

    private static ReservationTable.Request request(String node, long id, int tokens) {
        return new ReservationTable.Request("w", node, id, tokens, 10_000, 128);
    }
}
