package org.magnoliavane.protocol;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;

/**
 * Accepts peer connections on one port.
 *
 * <p>Thread-safe.
 */
public final class PeerServer implements AutoCloseable {
    private final Channel channel;

    PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Gets the port on which connections are accepted.
     *
     * @return the TCP port
     */
    public int getPort() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting connections. Established connections stay open. */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}
