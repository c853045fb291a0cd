package org.magnoliavane.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.NodeListing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Plays the losses of nodes as one node sees them, in virtual time: nodes that are gone stay listed, since nobody removes the
 * listing of a process that was killed.
 */
public class PeerDirectoryTest {
    private static final long CONTACT_MILLIS = 3000;

    /** Time after its last report at which a lost node must no longer be named. */
    private static final long BOUND_MILLIS = 3 * CONTACT_MILLIS;

    private static final long REPORT_MILLIS = 500;

    private PeerTable table;
    private List<String> running;
    private Set<String> frozen;
    private long nowMillis;
    private int started;

    @BeforeMethod
    public void reset() {
        table = PeerTable.create(CONTACT_MILLIS);
        running = new ArrayList<>();
        frozen = new TreeSet<>();
        nowMillis = 0;
        started = 0;
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{7}, {24}, {95}, {360}};
    }

    /** Guards against a directory that names all lost machines for good once more were lost than are left. */
    @Test(dataProvider = "fleets")
    public void machinesThatWereReplacedUntilAllHaveChangedTwiceAreNamedNoMore(int nodes) {
        startOthers(nodes);
        for (int i = 0; i < 2 * (nodes - 1); i++) {
            running.remove(0);
            startOthers(1);
            runFor(6000);
        }
        runFor(BOUND_MILLIS);
        assertNamed(running);
    }

    /** Guards against the same when many are lost at once: until the bound has passed, the fault may be at this node. */
    @Test(dataProvider = "fleets")
    public void mostMachinesThatAreLostAtOnceAreNamedNoMoreAfterTheBound(int nodes) {
        startOthers(nodes);
        runFor(5000);
        running = new ArrayList<>(running.subList(0, Math.max(1, (nodes - 1) / 3)));
        runFor(BOUND_MILLIS + REPORT_MILLIS);
        assertNamed(running);
    }

    /** Guards against callers that are sent to one node only, because it alone was not frozen. */
    @Test(dataProvider = "fleets")
    public void allOtherNodesThatAreFrozenForAWhileAreNamedThroughout(int nodes) {
        startOthers(nodes);
        runFor(5000);
        frozen.addAll(running);
        for (int i = 0; i < 8; i++) {
            runFor(REPORT_MILLIS);
            assertNamed(running);
        }
        frozen.clear();
        runFor(REPORT_MILLIS);
        assertNamed(running);
    }

    /** A machine that was replaced before is no evidence that the fault is at this node. */
    @Test(dataProvider = "fleets")
    public void lostMachinesDoNotLetFrozenOnesCountAsLost(int nodes) {
        startOthers(nodes);
        running.remove(0);
        startOthers(1);
        runFor(2 * BOUND_MILLIS);
        frozen.addAll(running);
        runFor(4000);
        assertNamed(running);
    }

    /** Guards against a directory without any address at a node that is about to be ready. */
    @Test(dataProvider = "fleets")
    public void lostMachinesAreNamedWhenNothingElseIsLeft(int nodes) {
        startOthers(nodes);
        runFor(5000);
        frozen.addAll(running);
        runFor(2 * BOUND_MILLIS);
        assertEquals(table.getCallerAddresses(true, nowMillis), List.of());
        assertEquals(table.getCallerAddresses(false, nowMillis).size(), nodes - 1);
    }

    /** Guards against a lost node that stays lost after it has reported again. */
    @Test
    public void aFrozenNodeThatWakesLateIsNamedAgain() {
        startOthers(7);
        runFor(5000);
        frozen.add(running.get(0));
        runFor(2 * BOUND_MILLIS);
        assertEquals(table.getLostListings(nowMillis).size(), 1);
        assertNamed(running.subList(1, running.size()));
        frozen.clear();
        runFor(REPORT_MILLIS);
        assertNamed(running);
        assertTrue(table.getLostListings(nowMillis).isEmpty());
    }

    private void startOthers(int nodesWithThisOne) {
        int count = running.isEmpty() ? nodesWithThisOne - 1 : nodesWithThisOne;
        for (int i = 0; i < count; i++) {
            String name = "n" + ++started;
            table.put(new NodeListing(name, 1, name, 1, 2, "z"), nowMillis);
            running.add(name);
        }
    }

    private void runFor(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += REPORT_MILLIS;
            for (String name : running) {
                if (!frozen.contains(name)) {
                    table.recordReport(
                            NodeReport.newBuilder()
                                    .setNode(name)
                                    .setRun(1)
                                    .setReady(true)
                                    .build(),
                            nowMillis);
                }
            }
        }
    }

    private void assertNamed(List<String> expected) {
        Set<String> named = new TreeSet<>();
        table.getCallerAddresses(true, nowMillis).forEach(a -> named.add(a.substring(0, a.indexOf(':'))));
        assertEquals(named, new TreeSet<>(expected), "at " + nowMillis + " ms");
    }
}
