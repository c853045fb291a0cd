package org.magnoliavane.poison;

import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PoisonTrackerTest {

    @Test
    public void aCrashInIsolationConfirmsAndACompletionInIsolationClears() {
        PoisonTracker tracker = new PoisonTracker(10);
        tracker.crashed(Set.of(1L, 2L), Optional.empty());
        assertEquals(tracker.getStanding(1), Standing.SUSPECTED);
        tracker.crashed(Set.of(1L), Optional.of(1L));
        tracker.completed(2, true);
        assertEquals(tracker.getStanding(1), Standing.CONVICTED);
        assertEquals(tracker.getStanding(2), Standing.CLEARED);
    }

    /** Guards against refusing an unrelated request because its workers crashed twice for other reasons. */
    @Test
    public void crashesOfSharedWorkersNeverConvict() {
        PoisonTracker tracker = new PoisonTracker(10);
        tracker.crashed(Set.of(1L, 2L), Optional.empty());
        tracker.crashed(Set.of(1L, 3L), Optional.empty());
        assertEquals(tracker.getStanding(1), Standing.SUSPECTED);
    }

    /** Guards against a verdict that is replaced by an older one from a peer. */
    @Test
    public void verdictsOfPeersMergeToTheSameResultInAnyOrder() {
        PoisonVerdict old = new PoisonVerdict(1, Standing.SUSPECTED, 1);
        PoisonVerdict cleared = new PoisonVerdict(1, Standing.CLEARED, 2);
        PoisonVerdict convicted = new PoisonVerdict(1, Standing.CONVICTED, 2);
        PoisonTracker tracker = new PoisonTracker(10);
        assertTrue(tracker.merge(cleared));
        assertFalse(tracker.merge(old));
        assertTrue(tracker.merge(convicted));
        assertFalse(tracker.merge(cleared));
        assertEquals(tracker.getChangesAfter(0).get(0), convicted);
        assertTrue(tracker.getChangesAfter(tracker.getSequence()).isEmpty());
    }

    @Test
    public void suspectedContentsAreEvictedBeforeConvictedOnes() {
        PoisonTracker tracker = new PoisonTracker(2);
        tracker.merge(new PoisonVerdict(1, Standing.CONVICTED, 1));
        tracker.crashed(Set.of(2L), Optional.empty());
        tracker.crashed(Set.of(3L), Optional.empty());
        assertEquals(tracker.getStanding(1), Standing.CONVICTED);
        assertEquals(tracker.getStanding(2), Standing.CLEARED);
    }
}
