package org.magnoliavane.balance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CrashLedgerTest {
    @Test
    public void aContentIsRefusedOnceItHasCrashedThreeWorkers() {
        CrashLedger ledger = new CrashLedger(3);
        ledger.record(7, "a@1");
        ledger.record(7, "b@1");
        assertFalse(ledger.isRefused(7));
        ledger.record(7, "c@1");
        assertTrue(ledger.isRefused(7));
        assertFalse(ledger.isRefused(8));
    }

    @Test
    public void oneCrashThatSeveralNodesTellOfCountsOnce() {
        CrashLedger ledger = new CrashLedger(3);
        assertTrue(ledger.record(7, "a@1"));
        assertFalse(ledger.record(7, "a@1"));
        assertEquals(ledger.countCrashes(7), 1);
    }

    @Test
    public void aSecondStartOfTheSameWorkerCountsAgain() {
        CrashLedger ledger = new CrashLedger(3);
        ledger.record(7, "a@1");
        ledger.record(7, "a@2");
        assertEquals(ledger.countCrashes(7), 2);
    }

    @Test
    public void theOldestContentIsForgottenWhenThereAreTooMany() {
        CrashLedger ledger = new CrashLedger(1);
        for (long content = 0; content < 5000; content++) {
            ledger.record(content, "a@1");
        }
        assertFalse(ledger.isRefused(0));
        assertTrue(ledger.isRefused(4999));
    }
}
