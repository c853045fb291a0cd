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
 * Relays TCP connections on the loopback interface and counts their payload by kind, without the headers of TCP and IP.
 * Nodes connect to other processes through it, because the kernel's counters of a process lose the bytes of a
 * short connection when it ends.
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

    /**
     * Opens a relay to a port and returns the port of the relay. Further calls with the same port return the same
     * relay.
     */
    int openRelay(String kind, int target) {
        return ports.computeIfAbsent(target, port -> listen(kind, port));
    }

    /** Gets the number of bytes sent by the connecting side to the target. */
    long getSent(String kind) {
        return getCount(sent, kind);
    }

    /** Gets the number of bytes sent by the target to the connecting side. */
    long getReceived(String kind) {
        return getCount(received, kind);
    }

    long getConnections(String kind) {
        return getCount(connections, kind);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static long getCount(Map<String, LongAdder> counters, String kind) {
        LongAdder counter = counters.get(kind);
        return counter == null ? 0 : counter.sum();
    }

    private static LongAdder getOrCreateCounter(Map<String, LongAdder> counters, String kind) {
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
                        connectToTarget(channel, kind, target);
                    }
                })
                .bind(HOST, 0)
                .syncUninterruptibly()
                .channel();
        return ((java.net.InetSocketAddress) server.localAddress()).getPort();
    }

    private void connectToTarget(Channel from, String kind, int target) {
        getOrCreateCounter(connections, kind).increment();
        ChannelFuture future = new Bootstrap()
                .group(from.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ForwardingHandler(from, getOrCreateCounter(received, kind)))
                .connect(HOST, target);
        Channel to = future.channel();
        from.pipeline().addLast(new ForwardingHandler(to, getOrCreateCounter(sent, kind)));
        future.addListener((ChannelFutureListener) f -> {
            if (!f.isSuccess()) {
                from.close();
                return;
            }
            from.config().setAutoRead(true);
            to.config().setAutoRead(true);
        });
    }

    /** Forwards the bytes of one connection to the other one. */
    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final LongAdder bytes;

        ForwardingHandler(Channel other, LongAdder bytes) {
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
