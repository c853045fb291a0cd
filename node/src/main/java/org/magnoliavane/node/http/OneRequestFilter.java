package org.magnoliavane.node.http;

import java.io.IOException;

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
import org.glassfish.grizzly.memory.Buffers;

/**
 * Reads on while a request of a connection is in work, so that a close is noticed although nothing is written, and holds
 * back what the caller sends meanwhile. Without it, Grizzly notices a close only when it writes, and it loses a second
 * request that it reads before the first one is answered.
 */
final class OneRequestFilter extends BaseFilter {
    /** Enough for the head of a next request; a caller that sends more than this without an answer is cut off. */
    private static final int MAX_HELD_BYTES = 64 * 1024;

    private static final Attribute<Gate> GATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("magnoliavane.gate", Gate::new);

    /** Adds the filter before the HTTP codec of a listener. */
    static void addTo(NetworkListener listener) {
        listener.registerAddOn((NetworkListener of, FilterChainBuilder chain) ->
                chain.add(chain.indexOfType(HttpServerFilter.class), new OneRequestFilter()));
    }

    /** Starts to hold bytes back, once the request has been read and its response is suspended. */
    static void close(Connection<?> connection) throws IOException {
        GATE.get(connection).close();
        connection.enableIOEvent(IOEvent.READ);
    }

    /** Hands held bytes on, once the response is complete. */
    static void open(Connection<?> connection) {
        GATE.get(connection).open();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        return GATE.get(context.getConnection()).take(context);
    }

    /** State of one connection. */
    private static final class Gate {
        private boolean closed;
        private FilterChainContext held;

        synchronized void close() {
            closed = true;
        }

        void open() {
            FilterChainContext next;
            synchronized (this) {
                closed = false;
                next = held;
                held = null;
            }
            if (next != null) {
                next.resumeNext();
            }
        }

        synchronized NextAction take(FilterChainContext context) throws IOException {
            if (!closed) {
                return context.getInvokeAction();
            }
            if (held == null) {
                held = context;
                context.suspend();
                context.getConnection().enableIOEvent(IOEvent.READ);
                return context.getSuspendAction();
            }
            append(context);
            return context.getStopAction();
        }

        private void append(FilterChainContext context) {
            Buffer more = context.getMessage();
            byte[] copy = new byte[more.remaining()];
            more.get(copy);
            Buffer all = Buffers.appendBuffers(
                    context.getMemoryManager(), held.getMessage(), Buffers.wrap(context.getMemoryManager(), copy));
            held.setMessage(all);
            if (all.remaining() > MAX_HELD_BYTES) {
                context.getConnection().closeSilently();
            }
        }
    }
}
