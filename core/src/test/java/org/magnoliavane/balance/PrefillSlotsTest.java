package org.magnoliavane.balance;

import java.util.Arrays;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Load of deployment B in a burst: 195 streams a second at 34 prefill workers, whose prefills take 133 ms of latency and 0.0246
 * ms for each token; target 909 ms. One prefill at a time would use half of what the engines can compute.
 */
public class PrefillSlotsTest {
    private static final int WORKERS = 34;
    private static final double STREAMS_PER_SECOND = 195;
    private static final long TARGET_MILLIS = 909;
    private static final double LATENCY_MILLIS = 133;
    private static final double MILLIS_PER_TOKEN = 0.0246;
    private static final int MEAN_TOKENS = 5200;
    private static final long RUN_MILLIS = 5000;

    @Test
    public void aLongLatencyIsFilledWithAnotherPrefill() {
        assertEquals(measure(LATENCY_MILLIS, MILLIS_PER_TOKEN, 40).getPrefillSlots("s"), 2);
    }

    /** Deployment P, whose prefills are computation: a second slot would delay the prefill that has the worker. */
    @Test
    public void prefillsWithoutLatencyRunOneAtATime() {
        assertEquals(measure(19, 0.0271, 40).getPrefillSlots("s"), 1);
    }

    @Test
    public void aFewPrefillsTellNothing() {
        assertEquals(measure(LATENCY_MILLIS, MILLIS_PER_TOKEN, 7).getPrefillSlots("s"), 1);
    }

    /** Guards against streams that wait for a prefill in a burst while engines wait for the latency of others. */
    @Test
    public void aBurstIsServedOnTimeWithTheMeasuredSlots() {
        int slots = measure(LATENCY_MILLIS, MILLIS_PER_TOKEN, 40).getPrefillSlots("s");
        double measured = play(slots);
        assertTrue(measured < TARGET_MILLIS, "95th percentile " + measured + " ms");
        assertTrue(play(1) > TARGET_MILLIS);
    }

    private static WorkerSpeeds measure(double latencyMillis, double millisPerToken, int prefills) {
        WorkerSpeeds speeds = new WorkerSpeeds();
        Random random = new Random(1);
        for (int i = 0; i < prefills; i++) {
            int tokens = nextTokens(random);
            double millis = latencyMillis + millisPerToken * tokens + 20 * random.nextGaussian();
            speeds.recordPrefill("s", "w" + i % WORKERS, tokens, Math.round(Math.max(1, millis)), 100 * i);
        }
        return speeds;
    }

    private static int nextTokens(Random random) {
        return (int) (MEAN_TOKENS * (0.3 + 1.4 * random.nextDouble()));
    }

    /** Returns the 95th percentile of the time from arrival to the end of the prefill, in milliseconds. */
    private static double play(int slots) {
        Random random = new Random(2);
        int count = (int) (STREAMS_PER_SECOND * RUN_MILLIS / 1000);
        double[] ends = new double[count];
        double[] times = new double[count];
        for (int i = 0; i < count; i++) {
            double arrivalMillis = 1000 * i / STREAMS_PER_SECOND;
            // A prefill gets the slot of the one that started so many before it at its worker.
            int previous = i - slots * WORKERS;
            double startMillis = previous < 0 ? arrivalMillis : Math.max(arrivalMillis, ends[previous]);
            // An engine computes one prompt at a time, each after its latency.
            double computedMillis = i < WORKERS ? 0 : ends[i - WORKERS];
            ends[i] = Math.max(computedMillis, startMillis + LATENCY_MILLIS) + MILLIS_PER_TOKEN * nextTokens(random);
            times[i] = ends[i] - arrivalMillis;
        }
        Arrays.sort(times);
        return times[count * 95 / 100];
    }
}
