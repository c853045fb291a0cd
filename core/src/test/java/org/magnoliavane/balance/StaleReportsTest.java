package org.magnoliavane.balance;

import java.util.LinkedHashMap;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class StaleReportsTest {
    /**
     * Guards against prefills that queue at one worker while others are idle, because all nodes choose by the same old
     * reports: a prefill of 95 ms took 158 ms at the median at low load. 66 nodes with 22 prefill workers at the usual 0.3 of
     * their capacity.
     */
    @Test
    public void prefillsOfManyNodesAtLowLoadWaitLittle() {
        StaleReportsRun.Result before = play(66, 22, 1000, 0.3, StaleReportsRun::chooseLeastReported);
        StaleReportsRun.Result granted = play(66, 22, 1000, 0.3, StaleReportsRun.chooseGranted(2));
        assertTrue(granted.meanMillis() < 110 && granted.meanMillis() < 0.7 * before.meanMillis(), granted.toString());
        assertTrue(granted.busiestAny() < 0.7 * before.busiestAny(), granted.toString());
    }

    /** Guards against the same in a burst, at 0.8 of the capacity. */
    @Test
    public void prefillsOfManyNodesInABurstDoNotQueueAtOneWorker() {
        StaleReportsRun.Result granted = play(66, 22, 1000, 0.8, StaleReportsRun.chooseGranted(2));
        assertTrue(granted.highMillis() < 450, granted.toString());
        assertTrue(granted.busiestAny() < 2, granted.toString());
    }

    /** Guards against herding while owners are silent, so that workers are only drawn. */
    @Test
    public void drawnWorkersAreLessUnevenThanTheLeastReported() {
        StaleReportsRun.Result before = play(66, 22, 1000, 0.8, StaleReportsRun::chooseLeastReported);
        StaleReportsRun.Result drawn = play(66, 22, 1000, 0.8, StaleReportsRun::chooseDrawn);
        assertTrue(drawn.busiestAny() < 0.5 * before.busiestAny(), drawn.toString());
        assertTrue(drawn.meanMillis() < 0.5 * before.meanMillis(), drawn.toString());
    }

    /**
     * Guards against a way that wins at one size of the fleet only. Plays one fleet; all those of the table in
     * docs/design/load-balancing.md with -Dstale.reports.all=true.
     */
    @Test
    public void theSlotOfAnOwnerLosesLeastTimeInLargeFleets() {
        Map<String, StaleReportsRun.Way> ways = new LinkedHashMap<>();
        ways.put("fewest reported tokens", StaleReportsRun::chooseLeastReported);
        ways.put("lowest expected delay", StaleReportsRun::chooseLowestDelay);
        ways.put("by headroom", StaleReportsRun::chooseByHeadroom);
        ways.put("better of two", StaleReportsRun::chooseDrawn);
        ways.put("slot of one of two", StaleReportsRun.chooseGranted(2));
        ways.put("slot of one of four", StaleReportsRun.chooseGranted(4));
        ways.put("present state", StaleReportsRun::chooseWithPresentState);
        int[][] all = {
            {7, 10, 100}, {7, 22, 1000}, {24, 22, 120}, {24, 22, 1000}, {66, 22, 250}, {66, 22, 1000}, {95, 60, 1000}
        };
        for (int[] fleet : Boolean.getBoolean("stale.reports.all") ? all : new int[][] {{66, 22, 250}}) {
            for (double load : new double[] {0.3, 0.8}) {
                Map<String, StaleReportsRun.Result> results = new LinkedHashMap<>();
                ways.forEach((name, way) -> results.put(name, play(fleet[0], fleet[1], fleet[2], load, way)));
                results.forEach((name, r) -> System.out.printf(
                        "| %d | %d | %d | %.1f | %s | %.2f | %.2f | %.2f | %.0f | %.0f |%n",
                        fleet[0],
                        fleet[1],
                        fleet[2],
                        load,
                        name,
                        r.busiestSecond(),
                        r.busiestAny(),
                        r.busiestRun(),
                        r.meanMillis(),
                        r.highMillis()));
                results.remove("present state");
                results.remove("slot of one of four");
                double granted = results.remove("slot of one of two").meanMillis();
                boolean large = fleet[0] > 25;
                results.forEach(
                        (name, r) -> assertTrue(!large || granted < r.meanMillis(), name + " " + r + " " + granted));
            }
        }
    }

    private static StaleReportsRun.Result play(
            int nodes, int workers, long reportMillis, double load, StaleReportsRun.Way way) {
        return new StaleReportsRun(nodes, workers).play(way, load, reportMillis);
    }
}
