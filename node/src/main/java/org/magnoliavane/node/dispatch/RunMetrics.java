package org.magnoliavane.node.dispatch;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.FaultKind;
import org.magnoliavane.pool.AttemptPhase;

/**
 * Records the metrics of one model request: whether its answer met both latency targets, its price, and the prefill
 * work that was discarded before use.
 *
 * <p>Not thread-safe; used only on the serial executor of its run.
 */
final class RunMetrics {
    private final ModelRequest modelRequest;
    private final MetricRegistry metrics;
    private final String priceClass;
    private long firstTokenMillis = -1;
    private long lastTokenNanos;
    private long firstTokenNanos;
    private int tokens;
    private int unusedPrefillTokens;

    RunMetrics(ModelRequest modelRequest, MetricRegistry metrics) {
        this.modelRequest = modelRequest;
        this.metrics = metrics;
        this.priceClass = modelRequest.priceClass().name();
    }

    /** Records a change of phase; a prefill is wasted when its attempt ends before the KV cache is imported. */
    void recordPhase(AttemptPhase phase, int cachedTokens) {
        if (phase == AttemptPhase.PREFILLED) {
            unusedPrefillTokens = Math.max(0, modelRequest.promptTokens() - cachedTokens);
            metrics.counter("prefill.tokens.computed").inc(unusedPrefillTokens);
        } else if (phase == AttemptPhase.IMPORTED) {
            unusedPrefillTokens = 0;
        } else if (phase.isTerminal()) {
            recordDiscardedPrefill();
        }
    }

    /**
     * Counts the prefill of an attempt as wasted when it was not used; needed for attempts that end without a report.
     */
    void recordDiscardedPrefill() {
        metrics.counter("prefill.tokens.wasted").inc(unusedPrefillTokens);
        unusedPrefillTokens = 0;
    }

    /** Records a token that was sent to the caller. */
    void recordToken() {
        lastTokenNanos = System.nanoTime();
        tokens++;
        if (tokens == 1) {
            firstTokenNanos = lastTokenNanos;
            firstTokenMillis = modelRequest.getElapsedMillis();
        }
    }

    /** Records the complete answer and its price. */
    void recordCompletion(int promptTokens, int completionTokens) {
        metrics.counter("answers." + priceClass + (isInTime() ? ".in_time" : ".late"))
                .inc();
        metrics.counter("price." + priceClass + ".micros")
                .inc(modelRequest.priceClass().getPriceMicros(promptTokens, completionTokens));
    }

    /** Records the fault with which the request ended. */
    void fail(FaultKind kind) {
        metrics.counter("answers." + priceClass + "." + kind.toWire()).inc();
    }

    private boolean isInTime() {
        return firstTokenMillis <= modelRequest.priceClass().ttftMillis()
                && getMeanGapMillis() <= modelRequest.priceClass().tbtMillis();
    }

    private double getMeanGapMillis() {
        return tokens < 2
                ? 0
                : (lastTokenNanos - firstTokenNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) / (tokens - 1);
    }
}
