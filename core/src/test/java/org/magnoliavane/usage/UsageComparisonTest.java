package org.magnoliavane.usage;

import java.util.Locale;
import java.util.stream.LongStream;

import org.magnoliavane.usage.UsageFleet.Event;
import org.magnoliavane.usage.UsageFleet.Result;
import org.magnoliavane.usage.UsageFleet.Way;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Compares three ways to keep a usage cap at all nodes together, and prints the table of docs/design/usage-caps.md. */
public class UsageComparisonTest {
    private static final long SEEDS = Long.getLong("usage.seeds", 10);
    private static final double START_SECONDS = Double.parseDouble(System.getProperty("usage.start", "0.25"));

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{7}, {24}, {66}, {360}};
    }

    /** Guards against use over the bound, and refusals below the cap, when load, cap or nodes change. */
    @Test(dataProvider = "sizes")
    public void theOwnerWithAFallbackKeepsTheBoundAndRefusesNothingBelowTheCap(int nodes) {
        for (double rate : new double[] {47_000, 250_000}) {
            for (Event event : Event.values()) {
                for (Way way : Way.values()) {
                    Result worst = LongStream.rangeClosed(1, SEEDS)
                            .mapToObj(seed -> new UsageFleet(way, event, nodes, rate, START_SECONDS).play(seed))
                            .reduce(Result::merge)
                            .orElseThrow();
                    System.out.printf(
                            Locale.ROOT,
                            "usage nodes=%d rate=%.0f event=%s way=%s excess=%d refused_below_percent=%.2f%n",
                            nodes,
                            rate,
                            event,
                            way,
                            worst.excess(),
                            100 * worst.getRefusedShare());
                    if (way == Way.OWNER_OR_SHARE) {
                        String play = nodes + " nodes, " + rate + ", " + event + ": " + worst;
                        assertTrue(worst.excess() <= 0, play);
                        boolean allInContact =
                                event == Event.USUAL_LOAD || event == Event.SIX_TIMES || event == Event.CAP_TENTH;
                        assertTrue(!allInContact || worst.getRefusedShare() < 0.01, play);
                    }
                }
            }
        }
    }
}
