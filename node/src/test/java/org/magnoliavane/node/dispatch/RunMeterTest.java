package org.magnoliavane.node.dispatch;

import java.util.List;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;
import org.magnoliavane.pool.AttemptPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RunMeterTest {
    private static final int PROMPT_TOKENS = 1000;

    private MetricRegistry metrics;

    @BeforeMethod
    public void reset() {
        metrics = new MetricRegistry();
    }

    /** Guards against counting a prefill as wasted that was discarded only after its KV cache had been used. */
    @Test
    public void aPrefillIsWastedOnlyWhenItsAttemptEndsBeforeTheImport() {
        RunMeter used = newMeter(60_000);
        used.take(AttemptPhase.PREFILLED, 400);
        used.take(AttemptPhase.IMPORTED, 400);
        used.take(AttemptPhase.DECODE_FAILED, 400);
        assertEquals(count("prefill.tokens.wasted"), 0);

        RunMeter unused = newMeter(60_000);
        unused.take(AttemptPhase.PREFILLED, 0);
        unused.take(AttemptPhase.TRANSFER_FAILED, 0);
        unused.discardPrefill();
        assertEquals(count("prefill.tokens.wasted"), 1000);
        assertEquals(count("prefill.tokens.computed"), 1600);
    }

    @Test
    public void anAnswerIsInTimeWhenItMeetsBothTargets() {
        RunMeter meter = newMeter(60_000);
        meter.takeToken();
        meter.takeToken();
        meter.complete(PROMPT_TOKENS, 2);
        assertEquals(count("answers.urgent.in_time"), 1);
        assertEquals(count("price.urgent.micros"), 2004);
    }

    @Test
    public void anAnswerWhoseFirstTokenIsLateIsLate() {
        RunMeter meter = newMeter(-1);
        meter.takeToken();
        meter.complete(PROMPT_TOKENS, 1);
        assertEquals(count("answers.urgent.late"), 1);
    }

    @Test
    public void aRefusalIsCountedByClassAndKind() {
        newMeter(60_000).fail(FaultKind.OVERLOADED);
        assertEquals(count("answers.urgent.overloaded"), 1);
    }

    private long count(String name) {
        return metrics.counter(name).getCount();
    }

    private RunMeter newMeter(long ttftMillis) {
        ModelSettings settings = new ModelSettings(List.of("m"), 2048, 40, 10_000, 30, 50_000, 800, 100, 1000, 0.3);
        PriceClass urgent = new PriceClass("urgent", 2, ttftMillis, 1000, 1000);
        Caller caller = new Caller("c", "p", "", Set.of());
        ModelRequest call = new ModelRequest(
                "r", caller, "s", settings, "m", urgent, "", PROMPT_TOKENS, 10, 10, System.nanoTime(), 0);
        return new RunMeter(call, metrics);
    }
}
