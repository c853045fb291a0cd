package org.magnoliavane.node.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.magnoliavane.NodeRun;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.protocol.PeerConnection;

/**
 * Maintains a connection to one peer. When the connection ends, the link connects again at once; the peer is considered
 * unreachable only when that attempt fails.
 *
 * <p>Thread-safe.
 */
final class PeerLink {
    private static final long RECONNECT_DELAY_MILLIS = 250;

    private final NodeAddress address;
    private final Function<PeerLink, CompletableFuture<PeerConnection>> connector;
    private final ScheduledExecutorService timers;
    private final Runnable changeListener;
    private PeerConnection connection;
    private NodeRun run;
    private boolean reachable;
    private boolean stopped;

    PeerLink(
            NodeAddress address,
            Function<PeerLink, CompletableFuture<PeerConnection>> connector,
            ScheduledExecutorService timers,
            Runnable changeListener) {
        this.address = address;
        this.connector = connector;
        this.timers = timers;
        this.changeListener = changeListener;
    }

    NodeAddress getAddress() {
        return address;
    }

    synchronized Optional<PeerConnection> findConnection() {
        return Optional.ofNullable(connection).filter(PeerConnection::isOpen);
    }

    synchronized Optional<NodeRun> findRun() {
        return reachable ? Optional.ofNullable(run) : Optional.empty();
    }

    boolean isSameAddress(NodeAddress other) {
        return address.host().equals(other.host()) && address.peerPort() == other.peerPort();
    }

    void connect() {
        synchronized (this) {
            if (stopped) {
                return;
            }
        }
        connector.apply(this).whenComplete(this::onConnected);
    }

    void onClosed(PeerConnection closed) {
        synchronized (this) {
            if (connection != closed) {
                return;
            }
            connection = null;
        }
        connect();
    }

    void stop() {
        PeerConnection current;
        synchronized (this) {
            stopped = true;
            reachable = false;
            current = connection;
            connection = null;
        }
        if (current != null) {
            current.close();
        }
    }

    private void onConnected(PeerConnection newConnection, Throwable cause) {
        boolean expectedNode = cause == null
                && newConnection.getPeerRun().node().equals(address.run().node());
        boolean rejected;
        synchronized (this) {
            rejected = stopped || !expectedNode;
            reachable = !rejected;
            if (!rejected) {
                connection = newConnection;
                run = newConnection.getPeerRun();
            }
        }
        if (rejected) {
            if (newConnection != null) {
                newConnection.close();
            }
            scheduleReconnect();
        } else if (!newConnection.isOpen()) {
            onClosed(newConnection);
        }
        changeListener.run();
    }

    private void scheduleReconnect() {
        synchronized (this) {
            if (stopped || timers.isShutdown()) {
                return;
            }
        }
        timers.schedule(this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
