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
final class RunMetrics {
    private final ModelCall call;
    private final MetricRegistry metrics;
    private final String priceClass;
    private long firstTokenMillis = -1;
    private long lastTokenNanos;
    private long firstTokenNanos;
    private int tokens;
    private int unusedPrefillTokens;

    RunMetrics(ModelCall call, MetricRegistry metrics) {
        this.call = call;
        this.metrics = metrics;
        this.priceClass = call.priceClass().name();
    }

    /** Takes a change of phase; a prefill is wasted when its attempt ends before the KV cache was imported. */
    void recordPhase(AttemptPhase phase, int cachedTokens) {
        if (phase == AttemptPhase.PREFILLED) {
            unusedPrefillTokens = Math.max(0, call.promptTokens() - cachedTokens);
            metrics.counter("prefill.tokens.computed").inc(unusedPrefillTokens);
        } else if (phase == AttemptPhase.IMPORTED) {
            unusedPrefillTokens = 0;
        } else if (phase.isEnd()) {
            recordDiscardedPrefill();
        }
    }

    /** Counts the prefill result of an attempt that is given up without a report. */
    void recordDiscardedPrefill() {
        metrics.counter("prefill.tokens.wasted").inc(unusedPrefillTokens);
        unusedPrefillTokens = 0;
    }

    void recordToken() {
        lastTokenNanos = System.nanoTime();
        tokens++;
        if (tokens == 1) {
            firstTokenNanos = lastTokenNanos;
            firstTokenMillis = call.getElapsedMillis();
        }
    }

    void recordCompletion(int promptTokens, int completionTokens) {
        metrics.counter("answers." + priceClass + (isInTime() ? ".in_time" : ".late"))
                .inc();
        metrics.counter("price." + priceClass + ".micros")
                .inc(call.priceClass().getPriceMicros(promptTokens, completionTokens));
    }

    void recordFault(FaultKind kind) {
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
