package org.magnoliavane.node.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;

/** Reads the body without blocking, up to the configured limit. */
final class ReadBodyFilter implements RequestFilter {
    /** Time within which a body must have arrived, so that slow senders cannot hold requests open. */
    private static final long MAX_MILLIS = 30_000;

    private final ScheduledExecutorService timers;

    ReadBodyFilter(ScheduledExecutorService timers) {
        this.timers = timers;
    }

    @Override
    public void apply(CallerExchange exchange, Consumer<CallerExchange> next) {
        int limit = exchange.getConfiguration().limits().maxBodyBytes();
        long announced = exchange.getRequest().getContentLengthLong();
        if (announced > limit) {
            exchange.refuseAndClose(tooLarge(limit));
            return;
        }
        NIOInputStream in = exchange.getRequest().getNIOInputStream();
        Collector collector = new Collector(exchange, in, limit, next);
        collector.begin();
        collector.limitTime(timers);
    }

    private static Fault tooLarge(int limit) {
        return Fault.notRun(
                FaultKind.TOO_LARGE,
                "the body is larger than " + limit + " bytes",
                "send a smaller body; operators: raise max_body_bytes");
    }

    /** Collects the parts of the body as they arrive. */
    private static final class Collector implements ReadHandler {
        private final CallerExchange exchange;
        private final NIOInputStream in;
        private final int limit;
        private final Consumer<CallerExchange> next;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final AtomicBoolean finished = new AtomicBoolean();
        private volatile ScheduledFuture<?> timer;

        Collector(CallerExchange exchange, NIOInputStream in, int limit, Consumer<CallerExchange> next) {
            this.exchange = exchange;
            this.in = in;
            this.limit = limit;
            this.next = next;
        }

        void begin() {
            try {
                onDataAvailable();
            } catch (IOException e) {
                onError(e);
            }
        }

        @Override
        public void onDataAvailable() throws IOException {
            if (!take()) {
                return;
            }
            if (in.isFinished()) {
                finish();
            } else {
                in.notifyAvailable(this);
            }
        }

        @Override
        public void onAllDataRead() throws IOException {
            if (take()) {
                finish();
            }
        }

        @Override
        public void onError(Throwable cause) {
            exchange.refuseAndClose(Fault.notRun(
                    FaultKind.INVALID_REQUEST, "the body ended early or is malformed", "send the request again"));
        }

        void limitTime(ScheduledExecutorService timers) {
            if (finished.get()) {
                return;
            }
            timer = timers.schedule(this::expire, MAX_MILLIS, TimeUnit.MILLISECONDS);
            if (finished.get()) {
                timer.cancel(false);
            }
        }

        private void expire() {
            if (finished.compareAndSet(false, true)) {
                exchange.refuseAndClose(Fault.notRun(
                        FaultKind.INVALID_REQUEST,
                        "the body did not arrive within " + MAX_MILLIS + " ms",
                        "send the request again over a faster connection"));
            }
        }

        private void finish() {
            if (finished.compareAndSet(false, true)) {
                if (timer != null) {
                    timer.cancel(false);
                }
                exchange.setBody(body.toByteArray());
                exchange.watchConnection();
                next.accept(exchange);
            }
        }

        private boolean take() throws IOException {
            byte[] part = new byte[in.readyData()];
            int length = part.length == 0 ? 0 : in.read(part);
            body.write(part, 0, Math.max(0, length));
            if (body.size() <= limit) {
                return true;
            }
            exchange.refuseAndClose(tooLarge(limit));
            return false;
        }
    }
}
