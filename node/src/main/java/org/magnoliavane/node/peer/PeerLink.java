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
 * Keeps a connection to one peer open. When it ends a new one is tried at once; only when that fails does the peer
 * count as unreachable.
 *
 * <p>Thread-safe.
 */
final class PeerLink {
    private static final long REDIAL_MILLIS = 250;

    private final NodeAddress address;
    private final Function<PeerLink, CompletableFuture<PeerConnection>> dialler;
    private final ScheduledExecutorService timers;
    private final Runnable onChange;
    private PeerConnection connection;
    private NodeRun run;
    private boolean reachable;
    private boolean stopped;

    PeerLink(
            NodeAddress address,
            Function<PeerLink, CompletableFuture<PeerConnection>> dialler,
            ScheduledExecutorService timers,
            Runnable onChange) {
        this.address = address;
        this.dialler = dialler;
        this.timers = timers;
        this.onChange = onChange;
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

    void dial() {
        synchronized (this) {
            if (stopped) {
                return;
            }
        }
        dialler.apply(this).whenComplete(this::onDialled);
    }

    void onClosed(PeerConnection closed) {
        synchronized (this) {
            if (connection != closed) {
                return;
            }
            connection = null;
        }
        dial();
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

    private void onDialled(PeerConnection dialled, Throwable cause) {
        boolean named =
                cause == null && dialled.getPeer().node().equals(address.run().node());
        boolean unwanted;
        synchronized (this) {
            unwanted = stopped || !named;
            reachable = !unwanted;
            if (!unwanted) {
                connection = dialled;
                run = dialled.getPeer();
            }
        }
        if (unwanted) {
            if (dialled != null) {
                dialled.close();
            }
            redialLater();
        } else if (!dialled.isOpen()) {
            onClosed(dialled);
        }
        onChange.run();
    }

    private void redialLater() {
        synchronized (this) {
            if (stopped || timers.isShutdown()) {
                return;
            }
        }
        timers.schedule(this::dial, REDIAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
