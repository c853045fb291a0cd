package org.magnoliavane.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.BiPredicate;

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

    private final BiPredicate<Connection<?>, Boolean> onEnd;

    /**
     * Creates a filter.
     *
     * @param onEnd receives each connection that the peer has closed, and true for an orderly close or false for a
     *     failed read such as a reset; returns whether the connection is to be kept open, without being read from
     */
    ResetDetectingFilter(BiPredicate<Connection<?>, Boolean> onEnd) {
        this.onEnd = onEnd;
    }

    /**
     * Returns whether the peer has reset a connection after it had ended it in order. The host of the peer does so if the peer
     * closes the connection before it has read all that was sent to it.
     *
     * @param connection a connection whose end was received
     * @return true also if the connection is closed
     */
    static boolean isReset(Connection<?> connection) {
        SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
        try (Selector selector = channel.provider().openSelector()) {
            // An established connection is selected for this operation only if it has an error.
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            return true;
        }
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
            return handleEnd(context, orderly);
        }
        if (length == 0) {
            return context.getStopAction();
        }
        bytes.flip();
        context.setMessage(Buffers.wrap(connection.getMemoryManager(), bytes));
        return context.getInvokeAction();
    }

    private NextAction handleEnd(FilterChainContext context, boolean orderly) {
        Connection<?> connection = context.getConnection();
        NextAction suspend = context.getSuspendAction();
        if (onEnd.test(connection, orderly)) {
            context.suspend();
            return suspend;
        }
        connection.terminateSilently();
        return context.getStopAction();
    }
}
