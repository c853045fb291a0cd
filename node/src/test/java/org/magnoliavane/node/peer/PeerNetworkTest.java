package org.magnoliavane.node.peer;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.NodeRun;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.membership.NodeHeartbeat;
import org.magnoliavane.node.membership.TestCluster;
import org.magnoliavane.node.placement.PoisonRegistry;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.VoidKey;
import org.magnoliavane.protocol.generated.VoidKeyResult;
import org.magnoliavane.protocol.generated.Withdraw;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class PeerNetworkTest {
    private PeerNetwork caller;
    private PeerNetwork callee;
    private SilentProxy proxy;

    @BeforeMethod
    public void start() throws Exception {
        caller = create("entry-1");
        callee = create("entry-2");
        callee.handle(
                Frame.BodyCase.VOID_KEY,
                (from, frame, reply) -> reply.accept(Frame.newBuilder()
                        .setVoidKeyResult(VoidKeyResult.newBuilder().setVoided(true))));
        callee.handle(Frame.BodyCase.WITHDRAW, (from, frame, reply) -> {
            throw new IllegalStateException("a handler that fails");
        });
        proxy = new SilentProxy(callee.listen("127.0.0.1", 0));
        caller.setPeers(
                List.of(new NodeAddress(new NodeRun("entry-2", 0), "127.0.0.1", 0, proxy.getPort(), 0, "a", false)));
        TestCluster.await(() -> caller.findConnection("entry-2").isPresent());
    }

    @AfterMethod
    public void stop() throws Exception {
        caller.close();
        callee.close();
        proxy.close();
    }

    /** Guards against requests that wait on a connection that is open and carries nothing any more. */
    @Test
    public void aSilentConnectionIsReplacedAndThePeerStaysReachable() throws Exception {
        long first = caller.findConnection("entry-2").getAsLong();
        proxy.silenceOpenConnections();
        long start = System.nanoTime();
        expectThrows(ExecutionException.class, () -> ask(5000));
        assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(2500));
        TestCluster.await(() -> {
            assertTrue(caller.findRun("entry-2").isPresent(), "the silence of one connection says nothing of the host");
            return caller.findConnection("entry-2").orElse(first) != first;
        });
        assertTrue(ask(1000).getVoidKeyResult().getVoided());
    }

    @Test
    public void aHandlerThatFailsLeavesTheConnectionOpen() throws Exception {
        caller.send("entry-2", Frame.newBuilder().setWithdraw(Withdraw.getDefaultInstance()));
        assertTrue(ask(1000).getVoidKeyResult().getVoided());
    }

    private Frame ask(long timeoutMillis) throws Exception {
        Frame.Builder request = Frame.newBuilder().setVoidKey(VoidKey.getDefaultInstance());
        return caller.call("entry-2", request, timeoutMillis)
                .toCompletableFuture()
                .get(6, TimeUnit.SECONDS);
    }

    private static PeerNetwork create(String node) {
        return PeerNetwork.create("test", new NodeRun(node, 1), "a", new NodeHeartbeat(new PoisonRegistry()));
    }
}
