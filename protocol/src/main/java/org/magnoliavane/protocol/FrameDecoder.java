package org.magnoliavane.protocol;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Cuts the byte stream into frames and notices a stream that ends inside one.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    static final int LENGTH_BYTES = 4;
    static final int MAX_FRAME_BYTES = 1 << 20;

    private boolean truncated;

    FrameDecoder() {
        super(MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    boolean isTruncated() {
        return truncated;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        truncated = truncated || in.isReadable();
    }
}
