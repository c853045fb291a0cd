package org.magnoliavane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.store.NodeListing;

/**
 * Sends and receives datagrams between nodes. Delivery is not guaranteed.
 *
 * <p>Thread-safe.
 */
public final class PeerChannel implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerChannel.class.getName());

    /** Largest datagram that is received. */
    private static final int MAX_DATAGRAM_BYTES = 16 << 10;

    private final NodeListing self;
    private final LoopFailures failures;
    private final List<BiConsumer<PeerDatagram, InetSocketAddress>> listeners = new CopyOnWriteArrayList<>();
    private final EventLoopGroup group;
    private final Channel channel;

    private PeerChannel(NodeListing self, LoopFailures failures) {
        this.self = self;
        this.failures = failures;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Receiver())
                .bind(self.host(), self.peerPort())
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Binds the UDP port of this node.
     *
     * @param self the listing of this node
     * @param failures records failed rounds and listeners
     * @return the open channel
     */
    public static PeerChannel open(NodeListing self, LoopFailures failures) {
        return new PeerChannel(self, failures);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Gets the single-threaded executor that sends and receives datagrams. */
    ScheduledExecutorService getExecutor() {
        return group.next();
    }

    /** Starts a loop on the executor of this channel. */
    void repeat(String loop, long delayMillis, Runnable round) {
        failures.repeat(loop, getExecutor(), delayMillis, round);
    }

    void addListener(BiConsumer<PeerDatagram, InetSocketAddress> listener) {
        listeners.add(listener);
    }

    PeerDatagram.Builder createDatagram() {
        return PeerDatagram.newBuilder().setNode(self.name()).setRun(self.run());
    }

    void send(PeerDatagram datagram, Collection<NodeListing> nodes) {
        byte[] bytes = datagram.toByteArray();
        for (NodeListing node : nodes) {
            if (!node.name().equals(self.name())) {
                write(bytes, new InetSocketAddress(node.host(), node.peerPort()));
            }
        }
        channel.flush();
    }

    void send(PeerDatagram datagram, InetSocketAddress to) {
        write(datagram.toByteArray(), to);
        channel.flush();
    }

    private void write(byte[] bytes, InetSocketAddress to) {
        channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
    }

    /** Passes received datagrams to the listeners. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                PeerDatagram datagram = PeerDatagram.parseFrom(ByteBufUtil.getBytes(packet.content()));
                if (!datagram.getNode().equals(self.name())) {
                    listeners.forEach(l -> failures.run("datagrams", () -> l.accept(datagram, packet.sender())));
                }
            } catch (InvalidProtocolBufferException e) {
                LOG.log(
                        Level.WARNING,
                        "event=datagram_unreadable sender={0} reason=\"{1}\"",
                        packet.sender(),
                        e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.WARNING, "event=datagram_failed reason=\"" + cause + '"');
        }
    }
}
