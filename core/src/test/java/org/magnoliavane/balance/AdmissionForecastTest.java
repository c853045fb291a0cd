package org.magnoliavane.balance;

import java.util.List;
import java.util.OptionalLong;

import org.magnoliavane.routing.EngineProfile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AdmissionForecastTest {
    /** Holds 8 streams of 5,000 tokens. */
    private static final EngineProfile ENGINE = new EngineProfile(64, 45_000, 500);

    private static final int WORKERS = 10;

    private AdmissionForecast forecast;

    @BeforeMethod
    public void createForecast() {
        forecast = new AdmissionForecast();
    }

    /** Guards against requests that are refused because the first few were slow. */
    @Test
    public void nothingIsEstimatedFromAFewReservations() {
        record(7);
        assertEquals(estimate(0, List.of(), 0), OptionalLong.empty());
    }

    /** Ten workers that hold 8 streams each for 2 s admit 40 streams per second. */
    @Test
    public void theWaitIsTheTokensAheadDividedByTheRateOfTheFleet() {
        record(20);
        assertEquals(estimate(0, List.of(waiting(0, 20)), 0).getAsLong(), 500);
        assertEquals(estimate(0, List.of(), 0).getAsLong(), 0);
    }

    @Test
    public void lessUrgentRequestsOnlyTakeTheShareOfTheOldest() {
        record(20);
        assertEquals(estimate(0, List.of(waiting(0, 20), waiting(1, 400)), 0).getAsLong(), 666);
        assertEquals(estimate(1, List.of(waiting(0, 20), waiting(1, 20)), 0).getAsLong(), 1000);
    }

    /** Guards against requests that are refused by the backlog of a node that has failed. */
    @Test
    public void theBacklogsOfOtherNodesCountWhileTheyAreReported() {
        record(20);
        forecast.updatePeer("n1", List.of(waiting(0, 40)), 0);
        forecast.updatePeer("n2", List.of(waiting(0, 40)), 1000);
        assertEquals(estimate(0, List.of(), 1000).getAsLong(), 2000);
        assertEquals(estimate(0, List.of(), 2000).getAsLong(), 1000);
        forecast.updatePeer("n2", List.of(), 2100);
        assertEquals(estimate(0, List.of(), 2100).getAsLong(), 0);
    }

    @Test
    public void aRequestIsHopelessIfTwiceItsWaitExceedsItsLatestStart() {
        assertFalse(AdmissionForecast.isHopeless(1000, 2000));
        assertTrue(AdmissionForecast.isHopeless(1001, 2000));
    }

    /** Guards against callers that give up, since they wait at most a third of their time, or return together. */
    @Test
    public void theTimeToRetryIsWithinAThirdOfTheRemainingTimeAndSpread() {
        long first = AdmissionForecast.computeRetryAfterMillis(5000, 3000, 0);
        long last = AdmissionForecast.computeRetryAfterMillis(5000, 3000, 0.999);
        assertTrue(first <= 1000 && last >= 400 && first - last >= 400, first + " and " + last);
        assertEquals(AdmissionForecast.computeRetryAfterMillis(800, 30_000, 0.5), 800);
        assertTrue(AdmissionForecast.computeRetryAfterMillis(0, 3000, 0.5) >= 100);
    }

    private void record(int reservations) {
        for (int i = 0; i < reservations; i++) {
            forecast.recordReservation("s", 5000, 2000);
        }
    }

    private OptionalLong estimate(int urgency, List<Backlog> own, long nowMillis) {
        return forecast.estimateWaitMillis("s", urgency, own, ENGINE, WORKERS, nowMillis);
    }

    private static Backlog waiting(int urgency, int requests) {
        return new Backlog("s", urgency, requests, 5000L * requests);
    }
}
