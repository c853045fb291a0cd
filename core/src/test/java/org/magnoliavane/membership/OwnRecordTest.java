package org.magnoliavane.membership;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests when a node writes its record again after the store has lost it. */
public class OwnRecordTest {

    @Test
    public void aListingThatARollbackHasRemovedIsLostUntilItIsConfirmedInTheNewEpoch() {
        OwnRecord record = new OwnRecord();
        record.startWrite(true);
        assertFalse(record.isLost(1, false, 0), "the write is under way");
        record.confirmWrite(true, 0, 0);
        assertFalse(record.isLost(0, false, 60_000), "the store was never rolled back");
        assertTrue(record.isLost(1, false, 100));
        assertFalse(record.isLost(1, true, 100));
        record.startWrite(true);
        record.confirmWrite(true, 1, 200);
        assertFalse(record.isLost(1, false, 300), "not read yet");
        assertTrue(record.isLost(2, false, 400), "a second rollback");
    }

    /** Guards against a node that stays unlisted because its write and the confirmation were on two sides of the rollback. */
    @Test
    public void aListingThatIsNotSeenLongAfterItsConfirmationIsLost() {
        OwnRecord record = new OwnRecord();
        record.startWrite(true);
        record.confirmWrite(true, 1, 0);
        assertFalse(record.isLost(1, false, 9000));
        assertTrue(record.isLost(1, false, 11_000));
    }

    /** Guards against an address that is given to callers again, because the copy has the listing of a node that stops. */
    @Test
    public void aRemovalIsLostWhenTheListingReturns() {
        OwnRecord record = new OwnRecord();
        record.startWrite(true);
        record.startWrite(false);
        record.confirmWrite(true, 0, 0);
        assertFalse(record.isLost(1, true, 100), "the removal is under way");
        record.confirmWrite(false, 0, 50);
        assertTrue(record.isLost(1, true, 100));
    }
}
