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
 * Carries frames to and from one peer. Sends a heartbeat every 500 ms and closes after 1.5 s without a frame.
 *
 * <p>Thread-safe.
 */
public final class PeerConnection {
    /** The time between two heartbeats. */
    public static final long HEARTBEAT_MILLIS = 500;

    /** The time without a frame after which a connection is closed. */
    public static final long SILENCE_MILLIS = 1500;

    /** The largest frame. */
    public static final int MAX_FRAME_BYTES = FrameDecoder.MAX_FRAME_BYTES;

    private static final long CHECK_MILLIS = 250;

    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final long id = NEXT_ID.getAndIncrement();
    private final PeerListener listener;
    private final FrameDecoder decoder = new FrameDecoder();
    private final AtomicLong nextCall = new AtomicLong(1);
    private final Map<Long, CompletableFuture<Frame>> calls = new ConcurrentHashMap<>();
    private final AtomicReference<PeerCloseReason> closed = new AtomicReference<>();
    private final CompletableFuture<PeerConnection> opened = new CompletableFuture<>();
    private volatile Channel channel;
    private volatile Hello hello;
    private long checks;
    private volatile long lastReadNanos = System.nanoTime();

    PeerConnection(PeerListener listener) {
        this.listener = listener;
    }

    /**
     * Gets a number that no other connection of this process has.
     *
     * @return the number
     */
    public long getId() {
        return id;
    }

    /**
     * Finds the hello of the peer.
     *
     * @return the hello, or empty before it came
     */
    public Optional<Hello> findHello() {
        return Optional.ofNullable(hello);
    }

    /**
     * Gets the run of the peer of an open connection.
     *
     * @return the run
     */
    public NodeRun getPeer() {
        Hello current = hello;
        if (current == null) {
            throw new IllegalStateException("the peer has not said hello");
        }
        return new NodeRun(current.getNode(), current.getRun());
    }

    /**
     * Says whether frames can be sent.
     *
     * @return true from the peer's hello to the end
     */
    public boolean isOpen() {
        return hello != null && closed.get() == null;
    }

    /**
     * Sends a message without a reply. Nothing happens when the connection has ended.
     *
     * @param message the message
     */
    public void send(Frame.Builder message) {
        write(message.setCall(0).setReply(false).build());
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param timeoutMillis the time within which the reply must come
     * @return the reply; fails with {@link PeerClosedException} or {@link TimeoutException}, and the peer may have
     *     handled the request all the same
     */
    public CompletableFuture<Frame> call(Frame.Builder request, long timeoutMillis) {
        long number = nextCall.getAndIncrement();
        CompletableFuture<Frame> result = new CompletableFuture<>();
        calls.put(number, result);
        result.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((reply, cause) -> calls.remove(number));
        write(request.setCall(number).setReply(false).build());
        if (closed.get() != null) {
            result.completeExceptionally(new PeerClosedException("the connection to the peer has ended"));
        }
        return result;
    }

    /**
     * Answers a request of the peer.
     *
     * @param request the request
     * @param reply the reply
     */
    public void reply(Frame request, Frame.Builder reply) {
        write(reply.setCall(request.getCall()).setReply(true).build());
    }

    /** Closes the connection. */
    public void close() {
        close(PeerCloseReason.CLOSED);
    }

    /** Sends a heartbeat now, such as after a change that peers should know at once. */
    public void sendHeartbeat() {
        if (isOpen()) {
            send(Frame.newBuilder().setHeartbeat(listener.createHeartbeat(this)));
        }
    }

    /**
     * Closes the connection.
     *
     * @param reason the reason
     */
    public void close(PeerCloseReason reason) {
        if (!closed.compareAndSet(null, reason)) {
            return;
        }
        Channel current = channel;
        if (current != null) {
            current.close();
        }
        PeerClosedException cause = new PeerClosedException("the connection to the peer has ended: " + reason);
        opened.completeExceptionally(cause);
        calls.values().forEach(call -> call.completeExceptionally(cause));
        listener.onClose(this, reason);
    }

    @Override
    public String toString() {
        Channel current = channel;
        SocketAddress remote = current == null ? null : current.remoteAddress();
        Hello known = hello;
        return "peer " + (known == null ? "unknown" : known.getNode()) + " at " + remote;
    }

    /** Ends a connection that was never made. */
    void fail(Throwable cause) {
        closed.compareAndSet(null, PeerCloseReason.CLOSED);
        opened.completeExceptionally(cause);
    }

    CompletableFuture<PeerConnection> getOpened() {
        return opened;
    }

    FrameDecoder getDecoder() {
        return decoder;
    }

    Handler createHandler() {
        return new Handler();
    }

    private void write(Frame frame) {
        Channel current = channel;
        if (current == null || closed.get() != null) {
            return;
        }
        int size = frame.getSerializedSize();
        if (size > MAX_FRAME_BYTES) {
            throw new IllegalArgumentException(
                    "a frame of " + size + " bytes exceeds the limit of " + MAX_FRAME_BYTES + " bytes");
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
            throw new IllegalStateException("a frame does not fit its own size", e);
        }
    }

    private void checkSilence() {
        if (closed.get() != null) {
            return;
        }
        long silentMillis = (System.nanoTime() - lastReadNanos) / 1_000_000;
        if (silentMillis > SILENCE_MILLIS) {
            close(PeerCloseReason.SILENT);
            return;
        }
        checks++;
        if (checks % (HEARTBEAT_MILLIS / CHECK_MILLIS) == 0) {
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
            Optional.ofNullable(calls.get(frame.getCall())).ifPresent(call -> call.complete(frame));
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
        opened.complete(this);
        sendHeartbeat();
    }

    /** Feeds the connection from its channel. */
    final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            lastReadNanos = System.nanoTime();
            if (closed.get() != null) {
                context.close();
                return;
            }
            write(Frame.newBuilder().setHello(listener.createHello()).build());
            Future<?> beats = context.executor()
                    .scheduleAtFixedRate(
                            PeerConnection.this::checkSilence, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
            context.channel().closeFuture().addListener(ignored -> beats.cancel(false));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
            if (closed.get() != null) {
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
