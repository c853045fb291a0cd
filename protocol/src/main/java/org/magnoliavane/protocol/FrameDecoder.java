package org.magnoliavane.protocol;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits the byte stream into frames by their length prefix, and detects a stream that ends within a frame.
 *
 * <p>Not thread-safe; used only on the event loop of its channel.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    static final int LENGTH_BYTES = 4;
    static final int MAX_FRAME_BYTES = 1 << 20;

    private boolean truncated;

    FrameDecoder() {
        super(MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Returns whether the stream ended within a frame. */
    boolean isTruncated() {
        return truncated;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        truncated = truncated || in.isReadable();
    }
}
