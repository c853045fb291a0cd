package org.magnoliavane.http.server;

import java.io.IOException;
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

/**
 * Reads on while a request is in work, so that a close of the connection is noticed although nothing is written, and
 * drops what the caller sends meanwhile. The connection is closed after the response. Grizzly parses requests that it
 * reads before the last one is finished on several threads at once and loses some of them, so a connection that was
 * read from during a request cannot serve another one.
 */
public final class OneRequestFilter extends BaseFilter {
    /** A caller that sends more than this without waiting for its answer is cut off. */
    private static final int MAX_DROPPED_BYTES = 64 * 1024;

    /** Number of bytes dropped; absent until the connection is watched. */
    private static final Attribute<AtomicLong> DROPPED =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("magnoliavane.dropped");

    /** Adds the filter before the HTTP codec of a listener. */
    public static void addTo(NetworkListener listener) {
        listener.registerAddOn((NetworkListener of, FilterChainBuilder chain) ->
                chain.add(chain.indexOfType(HttpServerFilter.class), new OneRequestFilter()));
    }

    /** Starts to read on, once a request has been read and its response is suspended. */
    public static void startReading(Connection<?> connection) throws IOException {
        DROPPED.set(connection, new AtomicLong());
        connection.enableIOEvent(IOEvent.READ);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        AtomicLong dropped = DROPPED.get(context.getConnection());
        if (dropped == null) {
            return context.getInvokeAction();
        }
        Buffer bytes = context.getMessage();
        if (dropped.addAndGet(bytes.remaining()) > MAX_DROPPED_BYTES) {
            context.getConnection().closeSilently();
        }
        bytes.tryDispose();
        return context.getStopAction();
    }
}
