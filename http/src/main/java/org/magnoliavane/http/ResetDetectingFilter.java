package org.magnoliavane.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.BiConsumer;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from a connection and distinguishes a reset from an orderly close. {@link TransportFilter} reports both as an
 * orderly close, so that a truncated response that is delimited by the close of its connection would seem complete.
 *
 * <p>Thread-safe if the consumer is.
 */
final class ResetDetectingFilter extends TransportFilter {
    private static final int READ_BYTES = 8192;

    private final BiConsumer<Connection<?>, Boolean> onEnd;

    /**
     * Creates a filter.
     *
     * @param onEnd receives each connection that the peer has closed, and true for an orderly close or false for a
     *     failed read such as a reset
     */
    ResetDetectingFilter(BiConsumer<Connection<?>, Boolean> onEnd) {
        this.onEnd = onEnd;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        NIOConnection connection = (NIOConnection) context.getConnection();
        ByteBuffer bytes = ByteBuffer.allocate(READ_BYTES);
        int length;
        boolean orderly = true;
        try {
            length = ((SocketChannel) connection.getChannel()).read(bytes);
        } catch (IOException e) {
            length = -1;
            orderly = false;
        }
        if (length < 0) {
            onEnd.accept(connection, orderly);
            connection.terminateSilently();
        }
        if (length <= 0) {
            return context.getStopAction();
        }
        bytes.flip();
        context.setMessage(Buffers.wrap(connection.getMemoryManager(), bytes));
        return context.getInvokeAction();
    }
}
