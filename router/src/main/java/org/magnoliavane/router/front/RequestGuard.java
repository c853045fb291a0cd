package org.magnoliavane.router.front;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.Failures;

/**
 * Ends each request of a caller at its time limit if the code that handles it has not, whatever that code waits for. Has a
 * thread of its own, because the thread that runs the other timeouts may be blocked or have failed.
 *
 * <p>Thread-safe.
 */
final class RequestGuard implements AutoCloseable {
    /** Time after the limit of a request within which the code that handles it may still answer. */
    static final long MARGIN_MILLIS = 100;

    /** Time between two checks of all requests. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final Set<FrontendExchange> exchanges = ConcurrentHashMap.newKeySet();
    private final LongSupplier millis;
    private final ScheduledExecutorService timer = DaemonTimers.open("request-guard", 1);

    private RequestGuard(LongSupplier millis) {
        this.millis = millis;
    }

    /**
     * Starts a guard.
     *
     * @param millis a monotonic clock in milliseconds
     * @return the guard of all requests
     */
    static RequestGuard start(LongSupplier millis) {
        RequestGuard guard = new RequestGuard(millis);
        guard.timer.scheduleWithFixedDelay(
                guard::check, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return guard;
    }

    void add(FrontendExchange exchange) {
        exchanges.add(exchange);
    }

    void remove(FrontendExchange exchange) {
        exchanges.remove(exchange);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void check() {
        try {
            long now = millis.getAsLong();
            for (FrontendExchange exchange : exchanges) {
                if (now >= exchange.getLimitMillis() + MARGIN_MILLIS) {
                    expire(exchange, now);
                }
            }
        } catch (Throwable e) {
            Failures.recordSurvived("request_guard", e);
        }
    }

    private static void expire(FrontendExchange exchange, long now) {
        try {
            exchange.expire(now);
        } catch (Throwable e) {
            Failures.recordSurvived("request_guard", e);
            exchange.abort();
        }
    }
}
