package org.magnoliavane.node.membership;

import java.util.concurrent.TimeUnit;

import org.magnoliavane.NodeRun;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.node.membership.TestCluster.Member;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class MembershipControllerTest {
    private TestCluster cluster;
    private Member first;
    private Member second;

    @BeforeMethod
    public void start() throws InterruptedException {
        cluster = new TestCluster();
        first = cluster.start("entry-1", 11, m -> {});
        second = cluster.start("entry-2", 22, m -> {});
        cluster.awaitNodes(2);
    }

    @AfterMethod
    public void stop() {
        cluster.close();
    }

    @Test
    public void nodesSeeEachOtherWithTheRunOfTheHello() {
        assertEquals(
                first.getController().get().findNode("entry-2").orElseThrow().run(), new NodeRun("entry-2", 22));
    }

    /** Guards against placements at a coordinator that has crashed. */
    @Test
    public void aNodeThatCannotBeReachedLeavesTheViewWithinOneAndAHalfSeconds() throws InterruptedException {
        long start = System.nanoTime();
        cluster.stop(second);
        TestCluster.await(() -> first.getController().get().nodes().size() == 1);
        assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(1500));
    }

    @Test
    public void theLastViewStaysInForceDuringAnOutageOfTheVmList() throws InterruptedException {
        cluster.addWorker("w", "decode", "live");
        TestCluster.await(() -> first.getController().get().findServer("w").isPresent());
        cluster.setVmListDown(true);
        Thread.sleep(300);
        assertTrue(first.getController().get().findServer("w").isPresent());
        assertEquals(first.getController().get().nodes().size(), 2);
    }

    /** Guards against new work for a worker that is draining. */
    @Test
    public void aDrainingWorkerIsNoLongerAvailable() throws InterruptedException {
        cluster.addWorker("v", "decode", "live");
        cluster.addWorker("w", "decode", "live");
        TestCluster.await(() -> countAvailableServers() == 2);
        cluster.addWorker("w", "decode", "leaving");
        TestCluster.await(() -> countAvailableServers() == 1);
        cluster.drain("v");
        TestCluster.await(() -> countAvailableServers() == 0);
    }

    @Test
    public void aNodeThatIsShuttingDownNotifiesItsPeers() throws InterruptedException {
        second.getController().startShutdown();
        TestCluster.await(() ->
                first.getController().get().findNode("entry-2").orElseThrow().leaving());
    }

    /** Guards against reporting an unreachable run as ended, and against waiting for a run that has ended. */
    @Test
    public void anEndedRunIsDistinguishedFromAnUnreachableOne() throws Exception {
        assertEquals(getState(new NodeRun("entry-2", 22)), NodeRunState.LIVE);
        assertEquals(getState(new NodeRun("entry-2", 21)), NodeRunState.GONE);
        assertEquals(getState(new NodeRun("entry-9", 1)), NodeRunState.UNREACHABLE);
        cluster.stop(second);
        TestCluster.await(() -> first.getController().get().nodes().size() == 1);
        assertEquals(getState(new NodeRun("entry-2", 22)), NodeRunState.UNREACHABLE);
        cluster.remove("entry-2");
        Thread.sleep(300);
        assertEquals(getState(new NodeRun("entry-2", 22)), NodeRunState.GONE);
    }

    private NodeRunState getState(NodeRun run) throws Exception {
        return first.getController().getState(run).toCompletableFuture().get(3, TimeUnit.SECONDS);
    }

    private int countAvailableServers() {
        return first.getController()
                .get()
                .getAvailableServers(TestCluster.SERVICE, WorkerRole.DECODE)
                .size();
    }
}
