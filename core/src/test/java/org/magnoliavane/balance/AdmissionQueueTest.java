package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AdmissionQueueTest {
    @Test
    public void theOldestOnTimeRequestIsNext() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        queue.add("second", 0, 20, 620);
        queue.add("first", 0, 10, 610);
        assertEquals(queue.peek(100).orElseThrow().request(), "first");
    }

    @Test
    public void anOnTimeRequestPrecedesAnOverdueOne() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        queue.add("overdue", 0, 0, 600);
        queue.add("on time", 0, 500, 1100);
        assertEquals(queue.peek(601).orElseThrow().request(), "on time");
    }

    @Test
    public void overdueRequestsAreServedWhenNoOtherRequestWaits() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        queue.add("older", 0, 0, 600);
        queue.add("newer", 0, 10, 610);
        assertEquals(queue.peek(5000).orElseThrow().request(), "older");
        assertEquals(queue.size(), 2);
    }

    @Test
    public void aRemovedRequestIsNotServedWhetherOverdueOrOnTime() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        AdmissionQueue.Entry<String> overdue = queue.add("overdue", 0, 0, 600);
        AdmissionQueue.Entry<String> onTime = queue.add("on time", 0, 10, 2000);
        queue.peek(700);
        queue.remove(overdue);
        queue.remove(onTime);
        assertTrue(queue.peek(700).isEmpty());
    }

    @Test
    public void anOverdueRequestNoLongerCountsAsOnTime() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        queue.add("request", 0, 0, 600);
        assertTrue(queue.hasOnTime(600));
        assertFalse(queue.hasOnTime(601));
        assertEquals(queue.size(), 1);
    }

    @Test
    public void theMostUrgentOnTimeRequestIsNext() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        queue.add("less urgent", 1, 0, 600);
        queue.add("urgent and overdue", 0, 0, 50);
        queue.add("urgent", 0, 50, 650);
        assertEquals(queue.peek(100).orElseThrow().request(), "urgent");
    }

    /** Guards against a less urgent request that never asks for capacity because more urgent ones always precede it. */
    @Test
    public void theOldestOnTimeRequestIsAmongTheFirstHoweverManyAreMoreUrgent() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        queue.add("less urgent", 1, 0, 600);
        for (int i = 0; i < 10; i++) {
            queue.add("urgent " + i, 0, 10 + i, 610);
        }
        assertEquals(
                queue.peekFirst(4, 100).stream()
                        .map(AdmissionQueue.Entry::request)
                        .toList(),
                List.of("urgent 0", "urgent 1", "urgent 2", "less urgent"));
    }

    /** A burst of twice the capacity for four seconds, then a low load: requests after the burst must not be delayed. */
    @Test
    public void aBurstOfTwiceTheCapacityDelaysOnlyRequestsOfTheBurst() {
        List<Integer> onTime = simulateBurst(true);
        List<Integer> inArrivalOrder = simulateBurst(false);
        int half = 4 * 40 / 2;
        assertTrue(onTime.size() >= half + 5 * 10, "on time: " + onTime.size());
        assertTrue(
                onTime.size() > inArrivalOrder.size() + 30,
                onTime.size() + " against " + inArrivalOrder.size() + " in arrival order");
        long afterBurst = onTime.stream().filter(i -> i >= 160).count();
        assertEquals(afterBurst, 50, "on-time requests after the burst");
    }

    /** Returns the numbers of the requests that start within 600 ms of their arrival, with one start every 50 ms. */
    private static List<Integer> simulateBurst(boolean byDeadline) {
        AdmissionQueue<Integer> queue = new AdmissionQueue<>();
        List<Integer> onTime = new ArrayList<>();
        int arrived = 0;
        for (int now = 0; now < 30_000; now += 5) {
            boolean burst = now < 4000 && now % 25 == 0;
            boolean lowLoad = now >= 4000 && now < 9000 && now % 100 == 0;
            if (burst || lowLoad) {
                queue.add(arrived++, 0, now, byDeadline ? now + 600 : Long.MAX_VALUE);
            }
            if (now % 50 == 0 && queue.peek(now).isPresent()) {
                AdmissionQueue.Entry<Integer> next = queue.peek(now).orElseThrow();
                queue.remove(next);
                if (now <= next.arrivalMillis() + 600) {
                    onTime.add(next.request());
                }
            }
        }
        assertEquals(queue.size(), 0, "requests never served");
        return onTime;
    }
}
