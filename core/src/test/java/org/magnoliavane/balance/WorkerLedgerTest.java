package org.magnoliavane.balance;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerLedgerTest {
    private WorkerLedger ledger;

    @BeforeMethod
    public void createLedger() {
        ledger = new WorkerLedger(() -> {});
    }

    /** Guards against a worker that stays unused for half a minute after it has changed its role. */
    @Test
    public void aReportOfAChangeThatIsOverDelaysAWorkerOnlyByTheLifeOfAReport() {
        ledger.suspendByReport("changed", 22_000, 0);
        assertTrue(ledger.isAvoided("changed", 1900));
        assertFalse(ledger.isAvoided("changed", 2100));
    }

    @Test
    public void aWorkerThatIsListedWithItsNewRoleIsUsedAtOnce() {
        ledger.suspend("worker", 30_000);
        ledger.resume("worker");
        assertFalse(ledger.isAvoided("worker", 1));
    }

    @Test
    public void aWorkerThatFailsMostSendsIsAvoidedUntilItsRateHasFallen() {
        for (int i = 0; i < 4; i++) {
            ledger.recordOutcome("worker", 1, 0);
        }
        assertTrue(ledger.isAvoided("worker", 0));
        assertFalse(ledger.isAvoided("worker", 12_000));
    }
}
