package org.magnoliavane.node.peer;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

import org.magnoliavane.NodeRun;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.protocol.PeerCloseReason;
import org.magnoliavane.protocol.PeerConnection;
import org.magnoliavane.protocol.PeerListener;
import org.magnoliavane.protocol.PeerServer;
import org.magnoliavane.protocol.PeerTransport;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Heartbeat;
import org.magnoliavane.protocol.generated.Hello;

/**
 * Maintains a connection to each other node, sends requests to the nodes, and handles their requests.
 *
 * <p>Thread-safe. Handlers must be registered before {@link #listen} is called.
 */
public final class PeerNetwork implements Peers, AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerNetwork.class.getName());

    private final PeerTransport transport;
    private final String cluster;
    private final NodeRun self;
    private final String zone;
    private final HeartbeatSource source;
    private final ScheduledThreadPoolExecutor timers;
    private final Map<Frame.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<PeerConnection, HeartbeatWriter> heartbeatWriters = new ConcurrentHashMap<>();
    private final Set<String> shuttingDown = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Runnable> changeListener = new AtomicReference<>(() -> {});
    private final AtomicReference<BiConsumer<String, Heartbeat>> heartbeatListener =
            new AtomicReference<>((node, heartbeat) -> {});
    private final AtomicBoolean closed = new AtomicBoolean();
    private final AtomicReference<PeerServer> server = new AtomicReference<>();

    private PeerNetwork(PeerTransport transport, String cluster, NodeRun self, String zone, HeartbeatSource source) {
        this.transport = transport;
        this.cluster = cluster;
        this.self = self;
        this.zone = zone;
        this.source = source;
        timers = DaemonTimers.open("peer-timers", 1);
    }

    /**
     * Creates the network of a node.
     *
     * @param cluster the name of the cluster, which all nodes share
     * @param self the run of this node
     * @param zone the availability zone of this node
     * @param source provides the content of heartbeats
     * @return the network; it does not listen yet
     */
    public static PeerNetwork create(String cluster, NodeRun self, String zone, HeartbeatSource source) {
        return new PeerNetwork(PeerTransport.open("peer-" + self.node()), cluster, self, zone, source);
    }

    /**
     * Sets the handler of frames of one kind.
     *
     * @param kind the kind of frame
     * @param handler the handler
     */
    public void setHandler(Frame.BodyCase kind, PeerHandler handler) {
        handlers.put(kind, handler);
    }

    /**
     * Sets the listener that is called after a node has become reachable or unreachable, or has started or cancelled its
     * shutdown.
     *
     * @param listener the listener; must not block
     */
    public void setChangeListener(Runnable listener) {
        changeListener.set(listener);
    }

    /**
     * Sets the listener that receives the heartbeats of the peers.
     *
     * @param listener receives node id and heartbeat; must not block
     */
    public void setHeartbeatListener(BiConsumer<String, Heartbeat> listener) {
        heartbeatListener.set(listener);
    }

    /**
     * Starts to accept connections.
     *
     * @param host the IP address to bind
     * @param port the TCP port; 0 selects a free port
     * @return the TCP port on which the network listens
     */
    public int listen(String host, int port) {
        server.set(transport.listen(host, port, new ConnectionListener(Optional.empty())));
        return server.get().getPort();
    }

    /**
     * Replaces the list of the other nodes.
     *
     * @param peers the other nodes
     */
    public void setPeers(List<NodeAddress> peers) {
        if (closed.get()) {
            return;
        }
        replacePeers(peers);
    }

    /** Sends a heartbeat on each connection now. */
    public void sendHeartbeats() {
        heartbeatWriters.keySet().forEach(PeerConnection::sendHeartbeat);
    }

    /**
     * Returns whether a peer has reported that it is shutting down.
     *
     * @param node the node id
     * @return true when the peer is shutting down
     */
    public boolean isShuttingDown(String node) {
        return shuttingDown.contains(node);
    }

    /**
     * Gets the number of connections that ended for a reason.
     *
     * @param reason the reason
     * @return the number of connections
     */
    public long getCloseCount(PeerCloseReason reason) {
        return transport.getCloseCount(reason);
    }

    @Override
    public Optional<NodeRun> findRun(String node) {
        return Optional.ofNullable(links.get(node)).flatMap(PeerLink::findRun);
    }

    @Override
    public OptionalLong findConnectionId(String node) {
        return findOpenConnection(node).map(c -> OptionalLong.of(c.getId())).orElse(OptionalLong.empty());
    }

    @Override
    public CompletionStage<Frame> sendRequest(String node, Frame.Builder request, long timeoutMillis) {
        return findOpenConnection(node)
                .map(connection -> connection.sendRequest(request, timeoutMillis))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new IOException("there is no connection to node " + node + " at present")));
    }

    @Override
    public void send(String node, Frame.Builder message) {
        findOpenConnection(node).ifPresent(connection -> connection.send(message));
    }

    @Override
    public CompletionStage<NodeRun> fetchRun(String node) {
        PeerLink link = links.get(node);
        if (link == null) {
            return CompletableFuture.failedFuture(new IOException("node " + node + " is not in the VM list"));
        }
        return connectTo(link).thenApply(connection -> {
            NodeRun run = connection.getPeerRun();
            connection.close();
            return run;
        });
    }

    @Override
    public void close() {
        closed.set(true);
        Optional.ofNullable(server.get()).ifPresent(PeerServer::close);
        replacePeers(List.of());
        heartbeatWriters.keySet().forEach(PeerConnection::close);
        timers.shutdownNow();
        transport.close();
    }

    private void replacePeers(List<NodeAddress> peers) {
        Set<String> listedNodes = new HashSet<>();
        for (NodeAddress peer : peers) {
            listedNodes.add(peer.run().node());
            openLink(peer);
        }
        for (String node : links.keySet()) {
            if (!listedNodes.contains(node)) {
                links.remove(node).stop();
                shuttingDown.remove(node);
            }
        }
    }

    private void openLink(NodeAddress peer) {
        String node = peer.run().node();
        PeerLink current = links.get(node);
        if (current != null && current.isSameAddress(peer)) {
            return;
        }
        if (current != null) {
            current.stop();
        }
        PeerLink link = new PeerLink(
                peer, this::connectTo, timers, () -> changeListener.get().run());
        links.put(node, link);
        link.connect();
    }

    private CompletableFuture<PeerConnection> connectTo(PeerLink link) {
        NodeAddress address = link.getAddress();
        return transport.connect(address.host(), address.peerPort(), new ConnectionListener(Optional.of(link)));
    }

    private Optional<PeerConnection> findOpenConnection(String node) {
        return Optional.ofNullable(links.get(node)).flatMap(PeerLink::findConnection);
    }

    private void dispatchFrame(PeerConnection connection, Frame frame) {
        if (frame.hasHeartbeat()) {
            handleHeartbeat(connection, frame.getHeartbeat());
        }
        PeerHandler handler = handlers.get(frame.getBodyCase());
        if (handler != null) {
            callHandler(handler, connection, frame);
        } else if (!frame.hasHeartbeat()) {
            LOG.log(Level.WARNING, "No handler for {0} from {1}.", frame.getBodyCase(), connection);
        }
    }

    private static void callHandler(PeerHandler handler, PeerConnection connection, Frame frame) {
        try {
            handler.handle(connection.getPeerRun(), frame, reply -> connection.reply(frame, reply));
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "The handler of " + frame.getBodyCase() + " failed; the connection stays open.", e);
        }
    }

    private void handleHeartbeat(PeerConnection connection, Heartbeat heartbeat) {
        String node = connection.getPeerRun().node();
        boolean changed = heartbeat.getLeaving() ? shuttingDown.add(node) : shuttingDown.remove(node);
        if (changed) {
            changeListener.get().run();
        }
        heartbeatListener.get().accept(node, heartbeat);
    }

    /** Receives the events of the connections of one link, or of all accepted connections. */
    private final class ConnectionListener implements PeerListener {
        private final Optional<PeerLink> link;

        ConnectionListener(Optional<PeerLink> link) {
            this.link = link;
        }

        @Override
        public Hello createHello() {
            return Hello.newBuilder()
                    .setCluster(cluster)
                    .setNode(self.node())
                    .setRun(self.run())
                    .setZone(zone)
                    .setConfigurationVersion(source.getConfigurationVersion())
                    .build();
        }

        @Override
        public Heartbeat createHeartbeat(PeerConnection connection) {
            HeartbeatWriter writer = heartbeatWriters.get(connection);
            return writer == null ? Heartbeat.getDefaultInstance() : writer.createHeartbeat(source);
        }

        @Override
        public void onOpen(PeerConnection connection) {
            heartbeatWriters.put(connection, new HeartbeatWriter());
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            dispatchFrame(connection, frame);
        }

        @Override
        public void onClose(PeerConnection connection, PeerCloseReason reason) {
            heartbeatWriters.remove(connection);
            link.ifPresent(l -> l.onClosed(connection));
        }
    }
}
