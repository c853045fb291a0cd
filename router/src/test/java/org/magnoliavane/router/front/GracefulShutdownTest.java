package org.magnoliavane.router.front;

import org.magnoliavane.routing.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests which requests are accepted during a shutdown. Guards against streams that are cut when the process ends, as
 * happened to one accepted 5.6 s after SIGTERM.
 */
public class GracefulShutdownTest {
    private static final long START = 10_000;
    private static final long GRACE = 8000;

    private GracefulShutdown shutdown;

    @BeforeMethod
    public void createShutdown() {
        shutdown = new GracefulShutdown();
    }

    @Test
    public void aRunningNodeAcceptsEverything() {
        assertTrue(canAccept(RequestKind.STREAM, 14_000, START));
        assertFalse(shutdown.isShuttingDown());
    }

    @Test
    public void streamsAreAcceptedOnlyInTheFirstSecondsOfTheShutdown() {
        shutdown.start(START, GRACE);
        assertTrue(canAccept(RequestKind.STREAM, 14_000, START + 2000));
        assertFalse(canAccept(RequestKind.STREAM, 14_000, START + 3000));
    }

    @Test
    public void otherRequestsAreAcceptedWhileTheirTimeoutEndsBeforeTheProcess() {
        shutdown.start(START, GRACE);
        assertTrue(canAccept(RequestKind.NON_IDEMPOTENT, 800, START + 6000));
        assertFalse(canAccept(RequestKind.NON_IDEMPOTENT, 800, START + 6800));
        assertFalse(canAccept(RequestKind.IDEMPOTENT, 2000, START + 6000));
    }

    /** Guards against a request that is accepted while the process ends because no other was active, and cut off. */
    @Test
    public void nothingIsAcceptedOnceTheProcessIsAboutToEnd() {
        shutdown.start(START, GRACE);
        shutdown.stopAccepting();
        assertFalse(canAccept(RequestKind.NON_IDEMPOTENT, 800, START + 1500));
        assertFalse(canAccept(RequestKind.STREAM, 14_000, START + 1500));
    }

    @Test
    public void aSecondRequestToStopChangesNothing() {
        assertTrue(shutdown.start(START, GRACE));
        assertFalse(shutdown.start(START + 5000, GRACE));
        assertFalse(canAccept(RequestKind.STREAM, 14_000, START + 5000));
    }

    /** Guards against margins that fit one grace period only, so that streams are cut at workers that ran in time. */
    @Test
    public void thePartsOfAShutdownAreInOrderForEachGracePeriod() {
        for (long grace : new long[] {500, 1000, 3000, 4000, 8000, 30_000, 600_000}) {
            GracefulShutdown.Schedule times = GracefulShutdown.Schedule.within(START, grace);
            String text = grace + " ms: " + times;
            long lastSixth = START + grace - grace / 6;
            assertTrue(times.streamsUntilMillis() > START && times.streamsUntilMillis() <= START + 3000, text);
            assertTrue(times.streamsUntilMillis() < times.answerByMillis(), text);
            assertTrue(times.answerByMillis() >= lastSixth, text);
            assertTrue(times.answerByMillis() < times.stopReadingMillis(), text);
            assertTrue(times.stopReadingMillis() < times.exitMillis(), text);
            assertTrue(times.exitMillis() < START + grace, text);
        }
        assertEquals(GracefulShutdown.Schedule.within(START, GRACE).exitMillis(), 17_400);
    }

    /** Guards against a request that waits for the state of the node until the process has ended. */
    @Test
    public void noWaitIsLongerThanTheTimeInWhichTheRequestCanBeAnswered() {
        assertEquals(shutdown.limitWait(START, 800), 800);
        shutdown.start(START, GRACE);
        assertEquals(shutdown.limitWait(START, 800), 800);
        assertEquals(shutdown.limitWait(START + 7000, 800), 100);
        assertEquals(shutdown.limitWait(START + 7300, 800), 0);
    }

    private boolean canAccept(RequestKind kind, long timeoutMillis, long nowMillis) {
        return shutdown.canAccept(kind, nowMillis + timeoutMillis, nowMillis);
    }
}
