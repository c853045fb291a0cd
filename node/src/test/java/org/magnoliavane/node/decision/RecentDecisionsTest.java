package org.magnoliavane.node.decision;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RecentDecisionsTest {
    @Test
    public void theNewestDecisionsAreKeptInOrder() {
        RecentDecisions log = RecentDecisions.create(System.getLogger("decisions"), 3);
        for (int i = 0; i < 5; i++) {
            log.record(new Decision(i, i % 2 == 0 ? "even" : "odd", "stage" + i, "a b", "a", "why"));
        }
        List<String> stages = log.find("even").stream().map(Decision::stage).toList();
        assertEquals(stages, List.of("stage2", "stage4"));
        assertTrue(log.find("none").isEmpty());
    }
}
