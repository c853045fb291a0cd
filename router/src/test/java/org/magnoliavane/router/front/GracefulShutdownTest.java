package org.magnoliavane.router.front;

import java.util.List;

import org.magnoliavane.routing.RequestKind;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.WeightedService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** A stream that was taken 5.6 s after SIGTERM was cut when the process ended. */
public class GracefulShutdownTest {
    private static final long START = 10_000;
    private static final long END = 17_400;

    private GracefulShutdown departure;

    @BeforeMethod
    public void createDeparture() {
        departure = new GracefulShutdown();
    }

    @Test
    public void aNodeThatStaysTakesEverything() {
        assertTrue(departure.mayTake(route(RequestKind.STREAM, 14_000), START));
        assertFalse(departure.isLeaving());
    }

    @Test
    public void streamsAreTakenOnlyInTheFirstSecondsOfLeaving() {
        departure.start(START, END);
        assertTrue(departure.mayTake(route(RequestKind.STREAM, 14_000), START + 2000));
        assertFalse(departure.mayTake(route(RequestKind.STREAM, 14_000), START + 3000));
    }

    @Test
    public void otherRequestsAreTakenWhileTheirTimeoutEndsBeforeTheProcess() {
        departure.start(START, END);
        assertTrue(departure.mayTake(route(RequestKind.NON_IDEMPOTENT, 800), START + 6000));
        assertFalse(departure.mayTake(route(RequestKind.NON_IDEMPOTENT, 800), START + 6800));
        assertFalse(departure.mayTake(route(RequestKind.IDEMPOTENT, 2000), START + 6000));
    }

    @Test
    public void aSecondRequestToStopChangesNothing() {
        assertTrue(departure.start(START, END));
        assertFalse(departure.start(START + 5000, END + 5000));
        assertFalse(departure.mayTake(route(RequestKind.STREAM, 14_000), START + 5000));
    }

    private static Route route(RequestKind kind, long timeoutMillis) {
        return new Route("r", "h", "/", kind, timeoutMillis, 300, 0, 1, List.of(new WeightedService("s", 1)), 1, false);
    }
}
