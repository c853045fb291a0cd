package org.magnoliavane.routing;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Pattern: a node that started after a rollback of the store, among 65 nodes that have the version that is lost. */
public class OutdatedConfigurationTest {

    /** Guards against a read of the store for every report; each is a priced call. */
    @Test
    public void aVersionThatTheStoreLacksIsReadAtMostTwiceASecond() {
        OutdatedConfiguration outdated = new OutdatedConfiguration();
        long lastReadMillis = -1000;
        int reads = 0;
        for (long now = 0; now < 2000; now += 4) {
            if (outdated.startRead(4, 5, now - lastReadMillis)) {
                reads++;
                lastReadMillis = now;
            }
        }
        assertEquals(reads, 4);
    }

    @Test
    public void aNewerVersionIsReadAtOnce() {
        OutdatedConfiguration outdated = new OutdatedConfiguration();
        assertFalse(outdated.startRead(5, 5, 10_000));
        assertTrue(outdated.startRead(4, 5, 101));
        assertFalse(outdated.startRead(4, 5, 200));
        assertTrue(outdated.startRead(4, 6, 200));
    }
}
