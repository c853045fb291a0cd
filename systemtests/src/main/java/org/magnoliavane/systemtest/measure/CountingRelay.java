package org.magnoliavane.systemtest.measure;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Relays TCP connections on the loopback interface and counts their payload by kind. Headers of TCP and IP are not
 * counted. It stands between nodes and the processes that they call, because the kernel's counters by process are lost
 * with each short connection.
 *
 * <p>Thread-safe.
 */
final class CountingRelay implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final Map<Integer, Integer> ports = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> sent = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> received = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> connections = new ConcurrentHashMap<>();

    /** Opens a relay to a port and gets the relay's port; a second call for a port gets the same relay. */
    int toPort(String kind, int target) {
        return ports.computeIfAbsent(target, port -> listen(kind, port));
    }

    /** Gets the bytes from the connecting side to the target. */
    long getSent(String kind) {
        return get(sent, kind);
    }

    /** Gets the bytes from the target to the connecting side. */
    long getReceived(String kind) {
        return get(received, kind);
    }

    long getConnections(String kind) {
        return get(connections, kind);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static long get(Map<String, LongAdder> counters, String kind) {
        LongAdder counter = counters.get(kind);
        return counter == null ? 0 : counter.sum();
    }

    private static LongAdder counter(Map<String, LongAdder> counters, String kind) {
        return counters.computeIfAbsent(kind, k -> new LongAdder());
    }

    private int listen(String kind, int target) {
        Channel server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connect(channel, kind, target);
                    }
                })
                .bind(HOST, 0)
                .syncUninterruptibly()
                .channel();
        return ((java.net.InetSocketAddress) server.localAddress()).getPort();
    }

    private void connect(Channel from, String kind, int target) {
        counter(connections, kind).increment();
        ChannelFuture future = new Bootstrap()
                .group(from.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Forward(from, counter(received, kind)))
                .connect(HOST, target);
        Channel to = future.channel();
        from.pipeline().addLast(new Forward(to, counter(sent, kind)));
        future.addListener((ChannelFutureListener) f -> {
            if (!f.isSuccess()) {
                from.close();
                return;
            }
            from.config().setAutoRead(true);
            to.config().setAutoRead(true);
        });
    }

    /** Writes what it reads to the other connection. */
    private static final class Forward extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final LongAdder bytes;

        Forward(Channel other, LongAdder bytes) {
            this.other = other;
            this.bytes = bytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes.add(((ByteBuf) message).readableBytes());
            other.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
