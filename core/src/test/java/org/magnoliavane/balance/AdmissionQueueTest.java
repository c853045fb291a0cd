package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AdmissionQueueTest {
    @Test
    public void theOldestOfTheRequestsThatCanBeOnTimeIsNext() {
        AdmissionQueue<String> room = new AdmissionQueue<>();
        room.add("second", 20, 620);
        room.add("first", 10, 610);
        assertEquals(room.peek(100).orElseThrow().request(), "first");
    }

    @Test
    public void aRequestThatIsLateYieldsToOneThatCanBeOnTime() {
        AdmissionQueue<String> room = new AdmissionQueue<>();
        room.add("late", 0, 600);
        room.add("punctual", 500, 1100);
        assertEquals(room.peek(601).orElseThrow().request(), "punctual");
    }

    @Test
    public void lateRequestsAreServedWhenNothingElseWaits() {
        AdmissionQueue<String> room = new AdmissionQueue<>();
        room.add("older", 0, 600);
        room.add("newer", 10, 610);
        assertEquals(room.peek(5000).orElseThrow().request(), "older");
        assertEquals(room.size(), 2);
    }

    @Test
    public void aRemovedRequestIsNotServedWhetherItIsLateOrNot() {
        AdmissionQueue<String> room = new AdmissionQueue<>();
        AdmissionQueue.Entry<String> late = room.add("late", 0, 600);
        AdmissionQueue.Entry<String> punctual = room.add("punctual", 10, 2000);
        room.peek(700);
        room.remove(late);
        room.remove(punctual);
        assertTrue(room.peek(700).isEmpty());
    }

    @Test
    public void aRequestThatHasBecomeLateNoLongerCountsAsPunctual() {
        AdmissionQueue<String> room = new AdmissionQueue<>();
        room.add("request", 0, 600);
        assertTrue(room.hasPunctual(600));
        assertFalse(room.hasPunctual(601));
        assertEquals(room.size(), 1);
    }

    /** A burst of twice the capacity for four seconds, then calm: the requests after the burst must not pay for it. */
    @Test
    public void aBurstOfTwiceTheCapacityDelaysOnlyRequestsOfTheBurst() {
        List<Integer> onTime = playBurst(true);
        List<Integer> inOrder = playBurst(false);
        int half = 4 * 40 / 2;
        assertTrue(onTime.size() >= half + 5 * 10, "on time: " + onTime.size());
        assertTrue(onTime.size() > inOrder.size() + 30, onTime.size() + " against " + inOrder.size() + " in order");
        long afterBurst = onTime.stream().filter(i -> i >= 160).count();
        assertEquals(afterBurst, 50, "requests after the burst that are on time");
    }

    /** Gives the numbers of the requests that start within 600 ms, at one start each 50 ms. */
    private static List<Integer> playBurst(boolean bySlack) {
        AdmissionQueue<Integer> room = new AdmissionQueue<>();
        List<Integer> onTime = new ArrayList<>();
        int arrived = 0;
        for (int now = 0; now < 30_000; now += 5) {
            boolean burst = now < 4000 && now % 25 == 0;
            boolean calm = now >= 4000 && now < 9000 && now % 100 == 0;
            if (burst || calm) {
                room.add(arrived++, now, bySlack ? now + 600 : Long.MAX_VALUE);
            }
            if (now % 50 == 0 && room.peek(now).isPresent()) {
                AdmissionQueue.Entry<Integer> next = room.peek(now).orElseThrow();
                room.remove(next);
                if (now <= next.arrivalMillis() + 600) {
                    onTime.add(next.request());
                }
            }
        }
        assertEquals(room.size(), 0, "requests never served");
        return onTime;
    }
}
