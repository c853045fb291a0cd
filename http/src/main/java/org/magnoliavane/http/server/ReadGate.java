package org.magnoliavane.http.server;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.server.NetworkListener;

/**
 * Ends the reading of requests before a server closes. From then on a connection whose request has not been read
 * completely is closed without a further read, so that its caller can send the request elsewhere.
 *
 * <p>Thread-safe.
 */
public final class ReadGate extends BaseFilter {
    private final NetworkListener listener;
    private final int threads;
    private final Set<Connection<?>> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean shut;

    private ReadGate(NetworkListener listener, int threads) {
        this.listener = listener;
        this.threads = threads;
    }

    /**
     * Adds a gate before the first filter of a listener, which reads from the connections. The listener must have a
     * {@link SingleRequestFilter}.
     *
     * @param listener the listener, which must not have been started
     * @param threads the fixed number of threads of its worker pool, in which it reads
     * @return the gate
     */
    public static ReadGate addTo(NetworkListener listener, int threads) {
        ReadGate gate = new ReadGate(listener, threads);
        listener.registerAddOn((NetworkListener of, FilterChainBuilder chain) -> chain.add(0, gate));
        return gate;
    }

    /**
     * Ends the reading. Afterwards each request that was read completely has reached its handler, and no other one is
     * read.
     *
     * @param timeoutMillis the maximum wait for reads and handlers that have begun, in milliseconds
     * @return the number of connections that were closed
     */
    public int shut(long timeoutMillis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        // What has arrived and waits for a thread is still read: beside load it may be older than others would accept.
        awaitThreads(endNanos);
        shut = true;
        awaitThreads(endNanos);
        int closed = 0;
        for (Connection<?> connection : connections) {
            if (closeIfIncomplete(connection)) {
                closed++;
            }
        }
        return closed;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        connections.add(connection);
        if (shut) {
            connection.closeSilently();
        }
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        return shut && closeIfIncomplete(context.getConnection()) ? context.getStopAction() : context.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        connections.remove(context.getConnection());
        return context.getInvokeAction();
    }

    private static boolean closeIfIncomplete(Connection<?> connection) {
        if (SingleRequestFilter.hasRequest(connection)) {
            return false;
        }
        // Writes what has been handed to the connection, such as the refusal of a body that is too large.
        connection.closeSilently();
        return true;
    }

    /** Waits until every thread is in a task of this method at once, so that all tasks before them have ended. */
    private void awaitThreads(long endNanos) {
        Executor pool = listener.getTransport().getWorkerThreadPool();
        CountDownLatch arrived = new CountDownLatch(threads);
        for (int i = 0; i < threads; i++) {
            pool.execute(() -> {
                arrived.countDown();
                await(arrived, endNanos);
            });
        }
        await(arrived, endNanos);
    }

    private static void await(CountDownLatch latch, long endNanos) {
        try {
            latch.await(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
