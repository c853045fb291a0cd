package org.magnoliavane.poison;

import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PoisonTrackerTest {

    @Test
    public void aSecondCrashAloneConvictsAndACompletedRunAloneClears() {
        PoisonTracker tracker = new PoisonTracker(10);
        tracker.recordCrash(Set.of(1L, 2L), Optional.empty());
        assertEquals(tracker.getStatus(1), PoisonStatus.SUSPECTED);
        tracker.recordCrash(Set.of(1L), Optional.of(1L));
        tracker.recordCompletion(2, true);
        assertEquals(tracker.getStatus(1), PoisonStatus.CONVICTED);
        assertEquals(tracker.getStatus(2), PoisonStatus.CLEARED);
    }

    /** Guards against an innocent request that is refused because a worker failed twice for other reasons. */
    @Test
    public void crashesOfSharedWorkersNeverConvict() {
        PoisonTracker tracker = new PoisonTracker(10);
        tracker.recordCrash(Set.of(1L, 2L), Optional.empty());
        tracker.recordCrash(Set.of(1L, 3L), Optional.empty());
        assertEquals(tracker.getStatus(1), PoisonStatus.SUSPECTED);
    }

    /** Guards against a verdict that is undone by an older one from a peer. */
    @Test
    public void verdictsOfPeersMergeToTheSameResultInAnyOrder() {
        PoisonVerdict old = new PoisonVerdict(1, PoisonStatus.SUSPECTED, 1);
        PoisonVerdict cleared = new PoisonVerdict(1, PoisonStatus.CLEARED, 2);
        PoisonVerdict convicted = new PoisonVerdict(1, PoisonStatus.CONVICTED, 2);
        PoisonTracker tracker = new PoisonTracker(10);
        assertTrue(tracker.merge(cleared));
        assertFalse(tracker.merge(old));
        assertTrue(tracker.merge(convicted));
        assertFalse(tracker.merge(cleared));
        assertEquals(tracker.getChangesAfter(0).get(0), convicted);
        assertTrue(tracker.getChangesAfter(tracker.getSequence()).isEmpty());
    }

    @Test
    public void convictionsOutliveSuspicionsWhenMemoryIsFull() {
        PoisonTracker tracker = new PoisonTracker(2);
        tracker.merge(new PoisonVerdict(1, PoisonStatus.CONVICTED, 1));
        tracker.recordCrash(Set.of(2L), Optional.empty());
        tracker.recordCrash(Set.of(3L), Optional.empty());
        assertEquals(tracker.getStatus(1), PoisonStatus.CONVICTED);
        assertEquals(tracker.getStatus(2), PoisonStatus.CLEARED);
    }
}
