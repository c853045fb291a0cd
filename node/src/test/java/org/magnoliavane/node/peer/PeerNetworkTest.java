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
    private PeerNetwork client;
    private PeerNetwork server;
    private StallingProxy proxy;

    @BeforeMethod
    public void start() throws Exception {
        client = create("entry-1");
        server = create("entry-2");
        server.setHandler(
                Frame.BodyCase.VOID_KEY,
                (from, frame, reply) -> reply.accept(Frame.newBuilder()
                        .setVoidKeyResult(VoidKeyResult.newBuilder().setVoided(true))));
        server.setHandler(Frame.BodyCase.WITHDRAW, (from, frame, reply) -> {
            throw new IllegalStateException("expected by the test");
        });
        proxy = new StallingProxy(server.listen("127.0.0.1", 0));
        client.setPeers(
                List.of(new NodeAddress(new NodeRun("entry-2", 0), "127.0.0.1", 0, proxy.getPort(), 0, "a", false)));
        TestCluster.await(() -> client.findConnectionId("entry-2").isPresent());
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        server.close();
        proxy.close();
    }

    /**
     * Guards against requests that wait on a connection which is still open but no longer delivers data. Such a
     * connection says nothing about the host, so the peer must stay reachable.
     */
    @Test
    public void anUnresponsiveConnectionIsReplacedWhileThePeerStaysReachable() throws Exception {
        long first = client.findConnectionId("entry-2").getAsLong();
        proxy.stallOpenConnections();
        long start = System.nanoTime();
        expectThrows(ExecutionException.class, () -> sendVoidKey(5000));
        assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(2500));
        TestCluster.await(() -> {
            assertTrue(client.findRun("entry-2").isPresent(), "the peer became unreachable because of one connection");
            return client.findConnectionId("entry-2").orElse(first) != first;
        });
        assertTrue(sendVoidKey(1000).getVoidKeyResult().getVoided());
    }

    @Test
    public void aHandlerThatThrowsLeavesTheConnectionOpen() throws Exception {
        client.send("entry-2", Frame.newBuilder().setWithdraw(Withdraw.getDefaultInstance()));
        assertTrue(sendVoidKey(1000).getVoidKeyResult().getVoided());
    }

    private Frame sendVoidKey(long timeoutMillis) throws Exception {
        Frame.Builder request = Frame.newBuilder().setVoidKey(VoidKey.getDefaultInstance());
        return client.sendRequest("entry-2", request, timeoutMillis)
                .toCompletableFuture()
                .get(6, TimeUnit.SECONDS);
    }

    private static PeerNetwork create(String node) {
        return PeerNetwork.create("test", new NodeRun(node, 1), "a", new NodeHeartbeat(new PoisonRegistry()));
    }
}
