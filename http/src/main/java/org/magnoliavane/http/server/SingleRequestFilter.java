package org.magnoliavane.http.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Keeps reading from a connection while a request is active, so that a disconnect is detected even if nothing is
 * written, and discards the bytes received meanwhile.
 *
 * <p>Such a connection must be closed after the response. Grizzly parses pipelined requests, which arrive before the
 * previous one is complete, on several threads at once and loses some of them. A connection that was read from during a
 * request can therefore not serve another one.
 *
 * <p>Thread-safe.
 */
public final class SingleRequestFilter extends BaseFilter {
    /** The connection of a caller that sends more bytes than this before the response is complete is closed. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    /** Size of the read that checks for a close; callers send nothing before their response. */
    private static final int PROBE_BYTES = 64;

    /** The number of bytes discarded; absent until {@link #startReading} is called for the connection. */
    private static final Attribute<AtomicLong> DISCARDED_BYTES =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("magnoliavane.dropped");

    /**
     * Adds the filter before the HTTP codec of a listener.
     *
     * @param listener the listener, which must not have been started
     */
    public static void addTo(NetworkListener listener) {
        listener.registerAddOn((NetworkListener of, FilterChainBuilder chain) ->
                chain.add(chain.indexOfType(HttpServerFilter.class), new SingleRequestFilter()));
    }

    /**
     * Resumes reading from a connection after a request has been read completely and its response is suspended. Also
     * checks whether the caller has closed the connection already: a request that waited for a slow or paused process
     * may be read long after its caller has given up.
     *
     * @param connection the connection of the request
     * @return false if the caller has closed the connection
     * @throws IOException if the connection was reset or reading cannot be enabled
     */
    public static boolean startReading(Connection<?> connection) throws IOException {
        AtomicLong discarded = new AtomicLong();
        DISCARDED_BYTES.set(connection, discarded);
        if (((NIOConnection) connection).getChannel() instanceof SocketChannel channel) {
            int length = channel.read(ByteBuffer.allocate(PROBE_BYTES));
            if (length < 0) {
                return false;
            }
            discarded.addAndGet(length);
        }
        connection.enableIOEvent(IOEvent.READ);
        return true;
    }

    /** Returns whether the request of a connection has been read completely. */
    static boolean hasRequest(Connection<?> connection) {
        return DISCARDED_BYTES.get(connection) != null;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        AtomicLong discarded = DISCARDED_BYTES.get(context.getConnection());
        if (discarded == null) {
            return context.getInvokeAction();
        }
        Buffer bytes = context.getMessage();
        if (discarded.addAndGet(bytes.remaining()) > MAX_DISCARDED_BYTES) {
            context.getConnection().closeSilently();
        }
        bytes.tryDispose();
        return context.getStopAction();
    }
}
