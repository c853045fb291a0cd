package org.magnoliavane.balance;

import java.util.Map;

import org.magnoliavane.balance.WorkerSpeeds.Measurement;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class WorkerSpeedsTest {
    private final WorkerSpeeds speeds = new WorkerSpeeds();

    @Test
    public void aWorkerWithoutMeasurementsHasTheMeanSpeed() {
        recordPrefills(new WorkerSpeeds(), 0);
        assertEquals(speeds.getSpeed("unknown", 0), 1.0);
    }

    /** Workers of deployment B: 0.6, 1.0 and 1.6, with prefills of 214 ms at speed 1. */
    @Test
    public void speedsAndTimesAreMeasured() {
        WorkerSpeeds measured = new WorkerSpeeds();
        long now = recordPrefills(measured, 0);
        double ratio = measured.getSpeed("fast", now) / measured.getSpeed("slow", now);
        assertTrue(ratio > 2 && ratio < 3.2, "ratio " + ratio);
        double millis = measured.getPrefillMillis("s", "slow", 5200, now);
        assertTrue(millis > 300 && millis < 420, "millis " + millis);
    }

    /** Guards against speeds that stay in force although a worker has become slower or faster. */
    @Test
    public void measurementsDecay() {
        WorkerSpeeds measured = new WorkerSpeeds();
        long now = recordPrefills(measured, 0);
        assertTrue(measured.getSpeed("slow", now) < 0.75);
        assertTrue(measured.getSpeed("slow", now + 240_000) > 0.95);
    }

    /** Guards against a worker that gets no work for long because one response was late. */
    @Test
    public void oneLateResponseChangesASpeedLittle() {
        WorkerSpeeds measured = new WorkerSpeeds();
        long now = 0;
        for (int i = 0; i < 20; i++) {
            now += 100;
            measured.recordPlain("s", "w" + i % 4, 85, now);
        }
        measured.recordPlain("s", "w1", 3000, now + 200);
        assertTrue(measured.getSpeed("w1", now + 400) > 0.8, "speed " + measured.getSpeed("w1", now + 400));
    }

    /** A node of 66 sees each worker too rarely to know its speed without the others. */
    @Test
    public void measurementsOfOtherNodesCountUntilTheyAreOld() {
        speeds.updatePeerMeasurements("n1", Map.of("w", new Measurement(0.5, 10)), 1000);
        speeds.updatePeerMeasurements("n2", Map.of("w", new Measurement(0.5, 10)), 1000);
        assertTrue(speeds.getSpeed("w", 1200) < 0.6);
        assertEquals(speeds.getSpeed("w", 20_000), 1.0);
    }

    /** Guards against reports that outgrow a datagram, and against workers that are never reported. */
    @Test
    public void reportsGoThroughAllWorkersInTurn() {
        WorkerSpeeds measured = new WorkerSpeeds();
        long now = recordPrefills(measured, 0);
        Map<String, Measurement> first = measured.getNextMeasurements(2, now);
        Map<String, Measurement> second = measured.getNextMeasurements(2, now);
        assertEquals(first.size(), 2);
        assertTrue(!second.keySet().equals(first.keySet()) && second.size() == 2);
    }

    private static long recordPrefills(WorkerSpeeds speeds, long startMillis) {
        long now = startMillis;
        for (int i = 0; i < 60; i++) {
            now += 200;
            speeds.recordPrefill("s", "slow", 5200, 357, now);
            speeds.recordPrefill("s", "mean", 5200, 214, now);
            speeds.recordPrefill("s", "fast", 5200, 134, now);
        }
        return now;
    }
}
