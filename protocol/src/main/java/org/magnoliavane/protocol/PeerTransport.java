package org.magnoliavane.protocol;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Heartbeat;
import org.magnoliavane.protocol.generated.Hello;

/**
 * Connects to peers, accepts their connections, and counts closed connections by reason.
 *
 * <p>Thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    /** The timeout in milliseconds for establishing a connection and, from the same start, for the hello of the peer. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private static final Logger LOG = System.getLogger(PeerTransport.class.getName());
    private static final int THREADS = 2;
    private static final int MAX_UNSENT_BYTES = 8 << 20;

    private final EventLoopGroup group;
    private final Map<PeerCloseReason, LongAdder> closeCounts = new EnumMap<>(PeerCloseReason.class);

    private PeerTransport(String name) {
        group = new MultiThreadIoEventLoopGroup(
                THREADS, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        for (PeerCloseReason reason : PeerCloseReason.values()) {
            closeCounts.put(reason, new LongAdder());
        }
    }

    /**
     * Opens a transport with its own event loop threads.
     *
     * @param name the name of the threads
     * @return the transport
     */
    public static PeerTransport open(String name) {
        return new PeerTransport(name);
    }

    /**
     * Starts to accept connections.
     *
     * @param host the IP address to bind
     * @param port the TCP port; 0 selects a free port
     * @param listener the listener of all accepted connections
     * @return the server
     */
    public PeerServer listen(String host, int port, PeerListener listener) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, createWaterMark())
                .childHandler(new PeerChannelInitializer(listener, null));
        Channel channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
        return new PeerServer(channel);
    }

    /**
     * Connects to a peer.
     *
     * @param host the IP address of the peer
     * @param port the TCP port of the peer
     * @param listener the listener of the connection
     * @return a future of the connection, completed when the hello of the peer is received; fails if the connection
     *     cannot be established, is closed, or receives no hello within {@link #CONNECT_TIMEOUT_MILLIS}
     */
    public CompletableFuture<PeerConnection> connect(String host, int port, PeerListener listener) {
        PeerConnection connection = new PeerConnection(new CountingListener(listener));
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, createWaterMark())
                .handler(new PeerChannelInitializer(listener, connection));
        ChannelFuture connect = bootstrap.connect(new InetSocketAddress(host, port));
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                connection.failToConnect(done.cause());
            }
        });
        group.schedule(() -> closeWithoutHello(connection), CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return connection.getOpenFuture();
    }

    /**
     * Gets the number of connections that were closed for a reason.
     *
     * @param reason the reason
     * @return the number
     */
    public long getCloseCount(PeerCloseReason reason) {
        return closeCounts.get(reason).sum();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private static void closeWithoutHello(PeerConnection connection) {
        if (connection.findHello().isEmpty()) {
            connection.close(PeerCloseReason.SILENT);
        }
    }

    private static WriteBufferWaterMark createWaterMark() {
        return new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES);
    }

    private void recordClose(PeerConnection connection, PeerCloseReason reason) {
        closeCounts.get(reason).increment();
        Level level = reason == PeerCloseReason.CLOSED ? Level.DEBUG : Level.WARNING;
        LOG.log(level, "Connection to {0} closed: {1}. Remedy: {2}.", connection, reason, reason.getRemedy());
    }

    /** Adds the handlers to the pipeline of a new channel. */
    private final class PeerChannelInitializer extends ChannelInitializer<Channel> {
        private final PeerListener listener;
        /** The connection that connects to a peer; null for accepted connections. */
        private final PeerConnection outgoing;

        PeerChannelInitializer(PeerListener listener, PeerConnection outgoing) {
            this.listener = listener;
            this.outgoing = outgoing;
        }

        @Override
        protected void initChannel(Channel channel) {
            PeerConnection connection =
                    outgoing == null ? new PeerConnection(new CountingListener(listener)) : outgoing;
            channel.pipeline().addLast(connection.getDecoder(), connection.createHandler());
        }
    }

    /** Counts closed connections and delegates all events to another listener. */
    private final class CountingListener implements PeerListener {
        private final PeerListener delegate;

        CountingListener(PeerListener delegate) {
            this.delegate = delegate;
        }

        @Override
        public Hello createHello() {
            return delegate.createHello();
        }

        @Override
        public Heartbeat createHeartbeat(PeerConnection connection) {
            return delegate.createHeartbeat(connection);
        }

        @Override
        public void onOpen(PeerConnection connection) {
            delegate.onOpen(connection);
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            delegate.onFrame(connection, frame);
        }

        @Override
        public void onClose(PeerConnection connection, PeerCloseReason reason) {
            recordClose(connection, reason);
            delegate.onClose(connection, reason);
        }
    }
}
