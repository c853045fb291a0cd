package org.magnoliavane.protocol;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Heartbeat;
import org.magnoliavane.protocol.generated.Hello;
import org.magnoliavane.protocol.generated.KeyCall;
import org.magnoliavane.protocol.generated.KeyResult;
import org.magnoliavane.protocol.generated.VoidKey;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class PeerConnectionTest {
    private static final String HOST = "127.0.0.1";

    private PeerTransport transport;
    private PeerServer server;

    @BeforeMethod
    public void start() {
        transport = PeerTransport.open("peer-test");
        server = transport.listen(HOST, 0, new EchoListener("a"));
    }

    @AfterMethod
    public void stop() {
        server.close();
        transport.close();
    }

    @Test
    public void aRequestCompletesWithItsOwnReply() throws Exception {
        PeerConnection connection = connect("a");
        CompletableFuture<Frame> unanswered = connection.call(Frame.newBuilder().setVoidKey(VoidKey.newBuilder()), 200);
        Frame reply = connection
                .call(Frame.newBuilder().setKeyCall(KeyCall.newBuilder().setKey("k")), 1000)
                .get(2, TimeUnit.SECONDS);
        assertTrue(reply.hasKeyResult());
        assertEquals(connection.getPeer().node(), "node");
        ExecutionException failure = expectThrows(ExecutionException.class, () -> unanswered.get(2, TimeUnit.SECONDS));
        assertTrue(failure.getCause() instanceof TimeoutException);
    }

    /** Guards against two clusters with overlapping addresses whose nodes handle each other's requests. */
    @Test
    public void aConnectionToAnotherClusterIsRejected() throws Exception {
        CompletableFuture<PeerConnection> opening = transport.connect(HOST, server.getPort(), new EchoListener("b"));
        expectThrows(ExecutionException.class, () -> opening.get(2, TimeUnit.SECONDS));
        awaitClose(PeerCloseReason.WRONG_CLUSTER);
    }

    /** Guards against unrelated clients that make a node allocate memory by sending a large length prefix. */
    @Test
    public void anOversizedFrameClosesTheConnection() throws Exception {
        sendRaw(new byte[] {0x7f, 0, 0, 0, 1}, false);
        awaitClose(PeerCloseReason.OVERSIZED);
    }

    @Test
    public void anUnreadableFrameClosesTheConnection() throws Exception {
        sendRaw(new byte[] {0, 0, 0, 2, -1, -1}, false);
        awaitClose(PeerCloseReason.MALFORMED);
    }

    @Test
    public void aFrameOfUnknownKindClosesTheConnection() throws Exception {
        sendRaw(new byte[] {0, 0, 0, 0}, false);
        awaitClose(PeerCloseReason.MALFORMED);
    }

    @Test
    public void aPartialFrameBeforeTheEndIsCountedAsTruncated() throws Exception {
        sendRaw(new byte[] {0, 0, 0, 9, 1}, true);
        awaitClose(PeerCloseReason.TRUNCATED);
    }

    /** Guards against waiting forever for a peer that accepts the connection and sends nothing. */
    @Test
    public void connectingToAnUnresponsivePeerTimesOut() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0)) {
            long start = System.nanoTime();
            CompletableFuture<PeerConnection> opening =
                    transport.connect(HOST, unresponsive.getLocalPort(), new EchoListener("a"));
            expectThrows(ExecutionException.class, () -> opening.get(4, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(2600));
        }
    }

    /** Guards against missing heartbeats on an idle connection, which would be closed after 1.5 s. */
    @Test
    public void heartbeatsKeepAnIdleConnectionOpen() throws Exception {
        PeerConnection connection = connect("a");
        Thread.sleep(2200);
        assertTrue(connection.isOpen());
        connection.close();
        assertFalse(connection.isOpen());
    }

    private PeerConnection connect(String cluster) throws Exception {
        return transport
                .connect(HOST, server.getPort(), new EchoListener(cluster))
                .get(2, TimeUnit.SECONDS);
    }

    private void sendRaw(byte[] bytes, boolean close) throws IOException {
        Socket socket = new Socket(HOST, server.getPort());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.write(bytes);
        out.flush();
        if (close) {
            socket.shutdownOutput();
        }
    }

    private void awaitClose(PeerCloseReason reason) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (transport.getCloseCount(reason) == 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertTrue(transport.getCloseCount(reason) > 0, "connections closed with reason " + reason);
    }

    /** Replies to keyed requests with an empty result, and ignores all other frames. */
    private static final class EchoListener implements PeerListener {
        private final String cluster;

        EchoListener(String cluster) {
            this.cluster = cluster;
        }

        @Override
        public Hello createHello() {
            return Hello.newBuilder()
                    .setCluster(cluster)
                    .setNode("node")
                    .setRun(7)
                    .build();
        }

        @Override
        public Heartbeat createHeartbeat(PeerConnection connection) {
            return Heartbeat.getDefaultInstance();
        }

        @Override
        public void onOpen(PeerConnection connection) {}

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            if (frame.hasKeyCall()) {
                connection.reply(frame, Frame.newBuilder().setKeyResult(KeyResult.newBuilder()));
            }
        }

        @Override
        public void onClose(PeerConnection connection, PeerCloseReason reason) {}
    }
}
