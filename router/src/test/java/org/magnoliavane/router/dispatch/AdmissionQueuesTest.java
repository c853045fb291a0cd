package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdmissionQueuesTest {
    private static final String SERVICE = "llm";
    private static final int NODES = 7;
    private static final int ROOMS = 40;
    private static final long MEAN_HOLD_MILLIS = 4000;
    private static final long START_WITHIN_MILLIS = 600;
    private static final long REPORT_DELAY_MILLIS = 30;

    private VirtualTimers timers;
    private Random random;
    private int free;

    @BeforeMethod
    public void startTime() {
        timers = new VirtualTimers();
        random = new Random(7);
        free = ROOMS;
    }

    /** A burst of four times what the workers hold at six nodes, then half of the capacity at the seventh. */
    @Test
    public void aBurstAtSomeNodesMakesNoLaterRequestOfAnotherNodeLate() {
        List<Request> others = playBurst(true);
        assertEquals(countLate(others), 0, "late requests of the other node");
    }

    /** Guards the test above: without news of the others, late requests of the burst take the room of punctual ones. */
    @Test
    public void withoutNewsOfTheOthersTheBurstWouldDelayThem() {
        assertTrue(countLate(playBurst(false)) > 0);
    }

    @Test
    public void lateRequestsAreServedOnceNoPunctualOneWaitsElsewhere() {
        AdmissionQueues queues = open(service -> timers.now() < 5000, () -> {});
        Request late = new Request(0);
        free = 0;
        queues.enqueue(SERVICE, late, 0, START_WITHIN_MILLIS);
        timers.runUntil(1000);
        free = 1;
        timers.runUntil(4900);
        assertEquals(late.startMillis, -1);
        timers.runUntil(5100);
        assertTrue(late.startMillis >= 5000);
    }

    @Test
    public void aNodeTellsWhenPunctualRequestsBeginAndCeaseToWait() {
        List<Boolean> told = new ArrayList<>();
        List<AdmissionQueues> queues = new ArrayList<>();
        queues.add(open(
                s -> false,
                () -> told.add(queues.get(0).getServicesWithOnTimeRequests().contains(SERVICE))));
        free = 0;
        queues.get(0).enqueue(SERVICE, new Request(0), 0, START_WITHIN_MILLIS);
        timers.runUntil(100);
        free = 1;
        timers.runUntil(200);
        assertEquals(told, List.of(true, false));
    }

    /** Gives the requests of the node without a burst, which arrive after it. */
    private List<Request> playBurst(boolean news) {
        boolean[] punctual = new boolean[NODES];
        List<AdmissionQueues> queues = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            int self = node;
            queues.add(open(
                    service -> news && IntStream.range(0, NODES).anyMatch(other -> other != self && punctual[other]),
                    () -> timers.at(
                            timers.now() + REPORT_DELAY_MILLIS,
                            () -> punctual[self] = !queues.get(self)
                                    .getServicesWithOnTimeRequests()
                                    .isEmpty())));
        }
        for (int i = 0; i < 4 * ROOMS; i++) {
            arrive(queues.get(i % (NODES - 1)), i);
        }
        List<Request> others = new ArrayList<>();
        for (long at = MEAN_HOLD_MILLIS; at < 5 * MEAN_HOLD_MILLIS; at += 2 * MEAN_HOLD_MILLIS / ROOMS) {
            others.add(arrive(queues.get(NODES - 1), at));
        }
        timers.runUntil(10 * MEAN_HOLD_MILLIS);
        return others;
    }

    private static long countLate(List<Request> requests) {
        return requests.stream()
                .filter(r -> r.startMillis < 0 || r.startMillis > r.arrivalMillis + START_WITHIN_MILLIS)
                .count();
    }

    private Request arrive(AdmissionQueues queues, long atMillis) {
        Request request = new Request(atMillis);
        timers.at(atMillis, () -> queues.enqueue(SERVICE, request, atMillis, atMillis + START_WITHIN_MILLIS));
        return request;
    }

    private AdmissionQueues open(Predicate<String> punctualElsewhere, Runnable onChange) {
        return new AdmissionQueues(timers, timers::now, random::nextDouble, punctualElsewhere, onChange);
    }

    private final class Request implements AdmissionQueues.Waiting {
        private final long arrivalMillis;
        private long startMillis = -1;

        Request(long arrivalMillis) {
            this.arrivalMillis = arrivalMillis;
        }

        @Override
        public AdmissionQueues.Outcome tryPlace() {
            if (free == 0) {
                return AdmissionQueues.Outcome.NO_ROOM;
            }
            free--;
            startMillis = timers.now();
            long hold = (long) (MEAN_HOLD_MILLIS * (0.25 + 1.5 * random.nextDouble()));
            timers.at(timers.now() + hold, () -> free++);
            return AdmissionQueues.Outcome.PLACED;
        }

        @Override
        public boolean isOver() {
            return false;
        }
    }
}
