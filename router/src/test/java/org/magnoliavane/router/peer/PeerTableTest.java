package org.magnoliavane.router.peer;

import java.util.Set;

import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.NodeListing;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class PeerTableTest {
    private final PeerTable table = new PeerTable();

    /** Guards against a node that reads the configuration again and again for a version that no other node has any more. */
    @Test
    public void theNewestVersionIsForgottenWithTheLastNodeThatHasIt() {
        put("a", 1);
        put("b", 1);
        put("c", 1);
        report("a", 1, 5);
        report("b", 1, 4);
        report("c", 1, 3);
        assertEquals(table.getNewestConfigurationVersion(), 5);
        report("a", 1, 2);
        assertEquals(table.getNewestConfigurationVersion(), 4);
        report("b", 7, 9);
        assertEquals(table.getNewestConfigurationVersion(), 4, "a report of another run");
        table.remove("b");
        assertEquals(table.getNewestConfigurationVersion(), 3);
        put("c", 2);
        assertEquals(table.getNewestConfigurationVersion(), 2);
        table.retain(Set.of("c"));
        assertEquals(table.getNewestConfigurationVersion(), 0);
    }

    private void put(String name, long run) {
        table.put(new NodeListing(name, run, "127.0.0.1", 1, 2, "z"), 0);
    }

    private void report(String name, long run, long version) {
        NodeReport report = NodeReport.newBuilder()
                .setNode(name)
                .setRun(run)
                .setConfigurationVersion(version)
                .build();
        table.recordReport(report, 0);
    }
}
