package org.magnoliavane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
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

    /** Number of known addresses above which all are forgotten, since nodes come and go; many times those of a fleet. */
    private static final int MAX_TARGETS = 1000;

    /**
     * Allocates the buffers of datagrams. Netty's default allocator registers events with the flight recorder at its first
     * use, which loads more than 50 classes that a router does not use otherwise. With an allocator that does not pool, Netty
     * leaves it to the JDK to copy what is sent into a direct buffer, which the JDK keeps for each thread.
     */
    private static final ByteBufAllocator BUFFERS = new UnpooledByteBufAllocator(true, true);

    private final NodeListing self;
    private final LoopFailures failures;
    private final List<BiConsumer<PeerDatagram, InetSocketAddress>> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, Target> targets = new ConcurrentHashMap<>();
    private final EventLoopGroup group;
    private final Channel channel;

    private PeerChannel(NodeListing self, LoopFailures failures) {
        this.self = self;
        this.failures = failures;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, BUFFERS)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffer::createHandle)
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
        List<InetSocketAddress> addresses = new ArrayList<>(nodes.size());
        for (NodeListing node : nodes) {
            if (!node.name().equals(self.name())) {
                addresses.add(getAddress(node));
            }
        }
        write(datagram, addresses);
    }

    void send(PeerDatagram datagram, InetSocketAddress to) {
        write(datagram, List.of(to));
    }

    /** Gets the address of a node, which is parsed once, because each node gets several datagrams a second. */
    private InetSocketAddress getAddress(NodeListing node) {
        Target known = targets.get(node.name());
        if (known != null && known.node == node) {
            return known.address;
        }
        if (targets.size() >= MAX_TARGETS) {
            targets.clear();
        }
        InetSocketAddress address = new InetSocketAddress(node.host(), node.peerPort());
        targets.put(node.name(), new Target(node, address));
        return address;
    }

    private void write(PeerDatagram datagram, List<InetSocketAddress> addresses) {
        byte[] bytes = datagram.toByteArray();
        for (InetSocketAddress address : addresses) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
        }
        channel.flush();
    }

    private record Target(NodeListing node, InetSocketAddress address) {}

    /**
     * Reads each datagram into the same buffer. Only one is read at a time, and {@link Receiver} has released it before the
     * next one.
     */
    private static final class ReceiveBuffer extends RecvByteBufAllocator.DelegatingHandle {
        private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

        private ReceiveBuffer(RecvByteBufAllocator.Handle handle) {
            super(handle);
        }

        @SuppressWarnings("deprecation") // There is no other way to create a handle in this version of Netty.
        static RecvByteBufAllocator.Handle createHandle() {
            return new ReceiveBuffer(new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                    .maxMessagesPerRead(1)
                    .newHandle());
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator buffers) {
            if (buffer.capacity() == 0 || buffer.refCnt() != 1) {
                buffer.release();
                buffer = buffers.directBuffer(MAX_DATAGRAM_BYTES);
            }
            return buffer.clear().retain();
        }
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
