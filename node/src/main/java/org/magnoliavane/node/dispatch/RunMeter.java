package org.magnoliavane.node.dispatch;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.FaultKind;
import org.magnoliavane.pool.AttemptPhase;

/**
 * Counts what becomes of one model request: whether its answer met both targets, its price, and the prefill work that was
 * discarded before use.
 *
 * <p>Not thread-safe; used on the serial executor of its run.
 */
final class RunMeter {
    private final ModelRequest call;
    private final MetricRegistry metrics;
    private final String priceClass;
    private long firstTokenMillis = -1;
    private long lastTokenNanos;
    private long firstTokenNanos;
    private int tokens;
    private int unusedPrefillTokens;

    RunMeter(ModelRequest call, MetricRegistry metrics) {
        this.call = call;
        this.metrics = metrics;
        this.priceClass = call.priceClass().name();
    }

    /** Takes a change of phase; a prefill is wasted when its attempt ends before the KV cache was imported. */
    void take(AttemptPhase phase, int cachedTokens) {
        if (phase == AttemptPhase.PREFILLED) {
            unusedPrefillTokens = Math.max(0, call.promptTokens() - cachedTokens);
            metrics.counter("prefill.tokens.computed").inc(unusedPrefillTokens);
        } else if (phase == AttemptPhase.IMPORTED) {
            unusedPrefillTokens = 0;
        } else if (phase.isTerminal()) {
            discardPrefill();
        }
    }

    /** Counts the prefill result of an attempt that is given up without a report. */
    void discardPrefill() {
        metrics.counter("prefill.tokens.wasted").inc(unusedPrefillTokens);
        unusedPrefillTokens = 0;
    }

    void takeToken() {
        lastTokenNanos = System.nanoTime();
        tokens++;
        if (tokens == 1) {
            firstTokenNanos = lastTokenNanos;
            firstTokenMillis = call.getElapsedMillis();
        }
    }

    void complete(int promptTokens, int completionTokens) {
        metrics.counter("answers." + priceClass + (isInTime() ? ".in_time" : ".late"))
                .inc();
        metrics.counter("price." + priceClass + ".micros")
                .inc(call.priceClass().getPriceMicros(promptTokens, completionTokens));
    }

    void fail(FaultKind kind) {
        metrics.counter("answers." + priceClass + "." + kind.toWire()).inc();
    }

    private boolean isInTime() {
        return firstTokenMillis <= call.priceClass().ttftMillis()
                && getMeanGapMillis() <= call.priceClass().tbtMillis();
    }

    private double getMeanGapMillis() {
        return tokens < 2
                ? 0
                : (lastTokenNanos - firstTokenNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) / (tokens - 1);
    }
}
