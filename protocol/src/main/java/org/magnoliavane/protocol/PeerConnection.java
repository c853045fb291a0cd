package org.magnoliavane.protocol;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import org.magnoliavane.NodeRun;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Hello;

/**
 * Exchanges frames with one peer. Sends a heartbeat every 500 ms and closes itself if no frame is received for 1.5 s.
 *
 * <p>Thread-safe.
 */
public final class PeerConnection {
    /** The interval of heartbeats in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 500;

    /** The time in milliseconds without a received frame after which a connection is closed. */
    public static final long IDLE_TIMEOUT_MILLIS = 1500;

    /** The maximum size of a frame in bytes, without its length prefix. */
    public static final int MAX_FRAME_BYTES = FrameDecoder.MAX_FRAME_BYTES;

    private static final long CHECK_INTERVAL_MILLIS = 250;

    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final long id = NEXT_ID.getAndIncrement();
    private final PeerListener listener;
    private final FrameDecoder decoder = new FrameDecoder();
    private final AtomicLong nextRequestNumber = new AtomicLong(1);
    private final Map<Long, CompletableFuture<Frame>> pendingReplies = new ConcurrentHashMap<>();
    private final AtomicReference<PeerCloseReason> closeReason = new AtomicReference<>();
    private final CompletableFuture<PeerConnection> openFuture = new CompletableFuture<>();
    private volatile Channel channel;
    private volatile Hello hello;
    private long checkCount;
    private volatile long lastReadNanos = System.nanoTime();

    PeerConnection(PeerListener listener) {
        this.listener = listener;
    }

    /**
     * Gets the id of this connection, which is unique within this process.
     *
     * @return the id
     */
    public long getId() {
        return id;
    }

    /**
     * Finds the hello of the peer.
     *
     * @return the hello, or empty if it has not been received yet
     */
    public Optional<Hello> findHello() {
        return Optional.ofNullable(hello);
    }

    /**
     * Gets the run of the peer node of a connection whose hello has been received.
     *
     * @return the run of the peer node
     * @throws IllegalStateException if the hello has not been received yet
     */
    public NodeRun getPeerRun() {
        Hello current = hello;
        if (current == null) {
            throw new IllegalStateException("no hello has been received from the peer");
        }
        return new NodeRun(current.getNode(), current.getRun());
    }

    /**
     * Returns whether the hello of the peer has been received and the connection has not been closed.
     *
     * @return true if frames can be exchanged
     */
    public boolean isOpen() {
        return hello != null && closeReason.get() == null;
    }

    /**
     * Sends a message that expects no reply. Does nothing if the connection has been closed.
     *
     * @param message the message
     */
    public void send(Frame.Builder message) {
        write(message.setCall(0).setReply(false).build());
    }

    /**
     * Sends a request that expects a reply.
     *
     * @param request the request
     * @param timeoutMillis the time in milliseconds within which the reply must be received
     * @return a future of the reply; fails with {@link PeerClosedException} or {@link TimeoutException}, in which case
     *     the peer may still have handled the request
     */
    public CompletableFuture<Frame> sendRequest(Frame.Builder request, long timeoutMillis) {
        long number = nextRequestNumber.getAndIncrement();
        CompletableFuture<Frame> result = new CompletableFuture<>();
        pendingReplies.put(number, result);
        result.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .whenComplete((reply, cause) -> pendingReplies.remove(number));
        write(request.setCall(number).setReply(false).build());
        if (closeReason.get() != null) {
            result.completeExceptionally(new PeerClosedException("connection to the peer closed"));
        }
        return result;
    }

    /**
     * Sends the reply to a request of the peer.
     *
     * @param request the request
     * @param reply the reply
     */
    public void reply(Frame request, Frame.Builder reply) {
        write(reply.setCall(request.getCall()).setReply(true).build());
    }

    /** Closes the connection with the reason {@link PeerCloseReason#CLOSED}. */
    public void close() {
        close(PeerCloseReason.CLOSED);
    }

    /** Sends a heartbeat immediately, for example after a change that peers should receive without delay. */
    public void sendHeartbeat() {
        if (isOpen()) {
            send(Frame.newBuilder().setHeartbeat(listener.createHeartbeat(this)));
        }
    }

    /**
     * Closes the connection. Fails all pending requests and notifies the listener. Does nothing if the connection has
     * already been closed.
     *
     * @param reason the reason
     */
    public void close(PeerCloseReason reason) {
        if (!closeReason.compareAndSet(null, reason)) {
            return;
        }
        Channel current = channel;
        if (current != null) {
            current.close();
        }
        PeerClosedException cause = new PeerClosedException("connection to the peer closed: " + reason);
        openFuture.completeExceptionally(cause);
        pendingReplies.values().forEach(pending -> pending.completeExceptionally(cause));
        listener.onClose(this, reason);
    }

    @Override
    public String toString() {
        Channel current = channel;
        SocketAddress remote = current == null ? null : current.remoteAddress();
        Hello known = hello;
        return "peer " + (known == null ? "unknown" : known.getNode()) + " at " + remote;
    }

    /** Fails a connection that could not be established. The listener is not notified. */
    void failToConnect(Throwable cause) {
        closeReason.compareAndSet(null, PeerCloseReason.CLOSED);
        openFuture.completeExceptionally(cause);
    }

    CompletableFuture<PeerConnection> getOpenFuture() {
        return openFuture;
    }

    FrameDecoder getDecoder() {
        return decoder;
    }

    FrameHandler createHandler() {
        return new FrameHandler();
    }

    private void write(Frame frame) {
        Channel current = channel;
        if (current == null || closeReason.get() != null) {
            return;
        }
        int size = frame.getSerializedSize();
        if (size > MAX_FRAME_BYTES) {
            throw new IllegalArgumentException(
                    "frame of " + size + " bytes exceeds the limit of " + MAX_FRAME_BYTES + " bytes");
        }
        if (!current.isWritable()) {
            close(PeerCloseReason.CONGESTED);
            return;
        }
        ByteBuf buffer = current.alloc().buffer(FrameDecoder.LENGTH_BYTES + size);
        buffer.writeInt(size);
        encode(frame, buffer.nioBuffer(FrameDecoder.LENGTH_BYTES, size));
        buffer.writerIndex(FrameDecoder.LENGTH_BYTES + size);
        current.writeAndFlush(buffer);
    }

    private static void encode(Frame frame, ByteBuffer target) {
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(target);
            frame.writeTo(out);
            out.flush();
        } catch (java.io.IOException e) {
            throw new IllegalStateException("encoded frame is larger than its computed size", e);
        }
    }

    private void checkIdleTimeout() {
        if (closeReason.get() != null) {
            return;
        }
        long idleMillis = (System.nanoTime() - lastReadNanos) / 1_000_000;
        if (idleMillis > IDLE_TIMEOUT_MILLIS) {
            close(PeerCloseReason.SILENT);
            return;
        }
        checkCount++;
        if (checkCount % (HEARTBEAT_MILLIS / CHECK_INTERVAL_MILLIS) == 0) {
            sendHeartbeat();
        }
    }

    private void receive(Frame frame) {
        if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
            close(PeerCloseReason.MALFORMED);
            return;
        }
        if (hello == null) {
            receiveHello(frame);
            return;
        }
        if (frame.getBodyCase() == Frame.BodyCase.HELLO) {
            close(PeerCloseReason.MALFORMED);
            return;
        }
        if (frame.getReply()) {
            Optional.ofNullable(pendingReplies.get(frame.getCall())).ifPresent(pending -> pending.complete(frame));
            return;
        }
        listener.onFrame(this, frame);
    }

    private void receiveHello(Frame frame) {
        if (frame.getBodyCase() != Frame.BodyCase.HELLO
                || frame.getHello().getNode().isEmpty()) {
            close(PeerCloseReason.MALFORMED);
            return;
        }
        Hello received = frame.getHello();
        if (!received.getCluster().equals(listener.createHello().getCluster())) {
            close(PeerCloseReason.WRONG_CLUSTER);
            return;
        }
        hello = received;
        listener.onOpen(this);
        openFuture.complete(this);
        sendHeartbeat();
    }

    /** Passes the events of the channel to the connection. */
    final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            lastReadNanos = System.nanoTime();
            if (closeReason.get() != null) {
                context.close();
                return;
            }
            write(Frame.newBuilder().setHello(listener.createHello()).build());
            Future<?> idleCheck = context.executor()
                    .scheduleAtFixedRate(
                            PeerConnection.this::checkIdleTimeout,
                            CHECK_INTERVAL_MILLIS,
                            CHECK_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
            context.channel().closeFuture().addListener(ignored -> idleCheck.cancel(false));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
            if (closeReason.get() != null) {
                return;
            }
            lastReadNanos = System.nanoTime();
            Frame frame;
            try {
                frame = Frame.parseFrom(message.nioBuffer());
            } catch (InvalidProtocolBufferException e) {
                close(PeerCloseReason.MALFORMED);
                return;
            }
            receive(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            close(decoder.isTruncated() ? PeerCloseReason.TRUNCATED : PeerCloseReason.CLOSED);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                close(PeerCloseReason.OVERSIZED);
            } else if (cause instanceof CorruptedFrameException) {
                close(PeerCloseReason.MALFORMED);
            } else {
                close(PeerCloseReason.CLOSED);
            }
        }
    }
}
