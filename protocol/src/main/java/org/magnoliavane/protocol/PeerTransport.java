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
 * Opens peer connections in both directions and counts how they end.
 *
 * <p>Thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    /** The time within which a connection must be made and its peer must say hello. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private static final Logger LOG = System.getLogger(PeerTransport.class.getName());
    private static final int THREADS = 2;
    private static final int MAX_WAITING_BYTES = 8 << 20;

    private final EventLoopGroup group;
    private final Map<PeerCloseReason, LongAdder> closes = new EnumMap<>(PeerCloseReason.class);

    private PeerTransport(String name) {
        group = new MultiThreadIoEventLoopGroup(
                THREADS, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        for (PeerCloseReason reason : PeerCloseReason.values()) {
            closes.put(reason, new LongAdder());
        }
    }

    /**
     * Opens a transport with threads of its own.
     *
     * @param name the name of its threads
     * @return the transport
     */
    public static PeerTransport open(String name) {
        return new PeerTransport(name);
    }

    /**
     * Accepts connections.
     *
     * @param host the IP address to bind
     * @param port the TCP port; 0 selects a free one
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
                .childHandler(new Initializer(listener, null));
        Channel channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
        return new PeerServer(channel);
    }

    /**
     * Opens a connection.
     *
     * @param host the IP address of the peer
     * @param port the TCP port of the peer
     * @param listener the listener of the connection
     * @return the connection after the hello of the peer; fails when there is none in time
     */
    public CompletableFuture<PeerConnection> connect(String host, int port, PeerListener listener) {
        PeerConnection connection = new PeerConnection(new CountingListener(listener));
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, createWaterMark())
                .handler(new Initializer(listener, connection));
        ChannelFuture connect = bootstrap.connect(new InetSocketAddress(host, port));
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                connection.fail(done.cause());
            }
        });
        group.schedule(() -> abandonSilent(connection), CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return connection.getOpened();
    }

    /**
     * Gets the number of connections that ended for a reason.
     *
     * @param reason the reason
     * @return the number
     */
    public long getCloseCount(PeerCloseReason reason) {
        return closes.get(reason).sum();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private static void abandonSilent(PeerConnection connection) {
        if (connection.findHello().isEmpty()) {
            connection.close(PeerCloseReason.SILENT);
        }
    }

    private static WriteBufferWaterMark createWaterMark() {
        return new WriteBufferWaterMark(MAX_WAITING_BYTES / 2, MAX_WAITING_BYTES);
    }

    private void count(PeerConnection connection, PeerCloseReason reason) {
        closes.get(reason).increment();
        Level level = reason == PeerCloseReason.CLOSED ? Level.DEBUG : Level.WARNING;
        LOG.log(level, "Connection to {0} ended: {1}. Remedy: {2}.", connection, reason, reason.getRemedy());
    }

    /** Builds the handlers of a new channel. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final PeerListener listener;
        private final PeerConnection dialled;

        Initializer(PeerListener listener, PeerConnection dialled) {
            this.listener = listener;
            this.dialled = dialled;
        }

        @Override
        protected void initChannel(Channel channel) {
            PeerConnection connection = dialled == null ? new PeerConnection(new CountingListener(listener)) : dialled;
            channel.pipeline().addLast(connection.getDecoder(), connection.createHandler());
        }
    }

    /** Counts the ends of connections before it hands them on. */
    private final class CountingListener implements PeerListener {
        private final PeerListener inner;

        CountingListener(PeerListener inner) {
            this.inner = inner;
        }

        @Override
        public Hello createHello() {
            return inner.createHello();
        }

        @Override
        public Heartbeat createHeartbeat(PeerConnection connection) {
            return inner.createHeartbeat(connection);
        }

        @Override
        public void onOpen(PeerConnection connection) {
            inner.onOpen(connection);
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            inner.onFrame(connection, frame);
        }

        @Override
        public void onClose(PeerConnection connection, PeerCloseReason reason) {
            count(connection, reason);
            inner.onClose(connection, reason);
        }
    }
}
