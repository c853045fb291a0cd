package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.Backlog;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.VirtualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdmissionQueuesTest {
    private static final String SERVICE = "llm";
    private static final int NODES = 7;
    private static final int CAPACITY = 40;
    private static final long MEAN_DURATION_MILLIS = 4000;
    private static final long START_WITHIN_MILLIS = 600;
    private static final long REPORT_DELAY_MILLIS = 30;

    /** Stack of the threads of a deployment. */
    private static final long STACK_BYTES = 256 << 10;

    private static final long BLOCKED_MILLIS = 5000;

    private MetricRegistry metrics;
    private VirtualTimers timers;
    private Random random;
    private int freeCapacity;

    @BeforeMethod
    public void reset() {
        metrics = new MetricRegistry();
        timers = new VirtualTimers();
        random = new Random(7);
        freeCapacity = CAPACITY;
    }

    /** Six nodes get a burst of four times the capacity of the workers, then the seventh gets a load of half the capacity. */
    @Test
    public void aBurstAtSomeNodesMakesNoLaterRequestOfAnotherNodeOverdue() {
        List<Request> others = simulateBurst(true);
        assertEquals(countOverdue(others), 0, "overdue requests of the other node");
    }

    /** Checks the test above: without reports of other nodes, overdue requests of the burst use capacity before on-time ones. */
    @Test
    public void withoutReportsOfOtherNodesTheBurstMakesRequestsOverdue() {
        assertTrue(countOverdue(simulateBurst(false)) > 0);
    }

    @Test
    public void overdueRequestsAreAdmittedOnceNoOnTimeRequestWaitsElsewhere() {
        AdmissionQueues queues = createQueues(service -> timers.now() < 5000, () -> {});
        Request overdue = new Request(0);
        freeCapacity = 0;
        queues.enqueue(SERVICE, overdue, 0, 0, START_WITHIN_MILLIS);
        timers.runUntil(1000);
        freeCapacity = 1;
        timers.runUntil(4900);
        assertEquals(overdue.startMillis, -1);
        timers.runUntil(5100);
        assertTrue(overdue.startMillis >= 5000);
    }

    @Test
    public void aNodeReportsTheFirstAndTheLastWaitingOnTimeRequest() {
        List<Boolean> reported = new ArrayList<>();
        List<AdmissionQueues> queues = new ArrayList<>();
        queues.add(createQueues(
                s -> false,
                () -> reported.add(queues.get(0).getServicesWithOnTimeRequests().contains(SERVICE))));
        freeCapacity = 0;
        queues.get(0).enqueue(SERVICE, new Request(0), 0, 0, START_WITHIN_MILLIS);
        timers.runUntil(100);
        freeCapacity = 1;
        timers.runUntil(200);
        assertEquals(reported, List.of(true, false));
    }

    /** Pattern: a large request at the head of the queue of a node, and small ones behind it that fit. */
    @Test
    public void aLargeRequestThatFitsNowhereDoesNotHoldUpSmallOnes() {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        Request large = new Request(0, CAPACITY);
        Request small = new Request(1);
        freeCapacity = CAPACITY / 2;
        queues.enqueue(SERVICE, large, 0, 0, START_WITHIN_MILLIS);
        queues.enqueue(SERVICE, small, 0, 1, START_WITHIN_MILLIS);
        timers.runUntil(50);
        assertTrue(small.startMillis >= 0);
        freeCapacity = CAPACITY;
        timers.runUntil(100);
        assertTrue(large.startMillis >= 0);
    }

    /** Guards against requests that displace each other without end: each asks once until the order changes. */
    @Test
    public void theFirstFourRequestsAskAndAMoreUrgentOneDisplacesTheLast() {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        List<AskingRequest> requests = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            requests.add(new AskingRequest());
            queues.enqueue(SERVICE, requests.get(i), 1, i, START_WITHIN_MILLIS);
        }
        AskingRequest urgent = new AskingRequest();
        queues.enqueue(SERVICE, urgent, 0, 10, START_WITHIN_MILLIS);
        timers.runUntil(START_WITHIN_MILLIS);
        assertEquals(requests.stream().map(r -> r.asked).toList(), List.of(1, 1, 1, 1, 0, 0));
        assertEquals(
                requests.stream().map(r -> r.withdrawn).toList(), List.of(false, false, false, true, false, false));
        assertEquals(urgent.asked, 1);
        queues.handleReservationResult(SERVICE, requests.get(0), true);
        assertEquals(requests.get(3).asked, 2);
    }

    /** Guards against a request that is kept in the queue after it has ended while it asked for capacity. */
    @Test
    public void aRequestThatEndsWhileItAsksLeavesTheQueue() {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        AskingRequest request = new AskingRequest();
        queues.enqueue(SERVICE, request, 0, 0, START_WITHIN_MILLIS);
        request.done = true;
        queues.handleReservationResult(SERVICE, request, false);
        assertTrue(queues.getBacklogs().isEmpty());
    }

    @Test
    public void theWaitingTokensAreSummedByUrgency() {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        queues.enqueue(SERVICE, new AskingRequest(), 0, 0, START_WITHIN_MILLIS);
        queues.enqueue(SERVICE, new AskingRequest(), 2, 1, START_WITHIN_MILLIS);
        queues.enqueue(SERVICE, new AskingRequest(), 2, 2, START_WITHIN_MILLIS);
        assertEquals(queues.getBacklogs(), List.of(new Backlog(SERVICE, 0, 1, 100), new Backlog(SERVICE, 2, 2, 200)));
    }

    /** Guards against a stack overflow after about 55 requests whose reservations are granted during the attempt. */
    @Test
    public void thousandsOfRequestsAreAdmittedAtOnceOnASmallStack() throws InterruptedException {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        List<ReservingRequest> requests = new ArrayList<>();
        freeCapacity = 0;
        for (int i = 0; i < 5000; i++) {
            requests.add(new ReservingRequest(queues));
            queues.enqueue(SERVICE, requests.get(i), 0, i, START_WITHIN_MILLIS);
        }
        freeCapacity = requests.size();
        Thread thread = new Thread(null, () -> queues.handleCapacityFreed(SERVICE), "test", STACK_BYTES);
        thread.start();
        thread.join();
        assertEquals(requests.stream().filter(r -> r.done).count(), requests.size());
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{new IllegalStateException("test")}, {new StackOverflowError("test")}};
    }

    /** Guards against a queue that admits no request any more after one attempt has failed. */
    @Test(dataProvider = "failures")
    public void theRequestsAfterOneWhoseAttemptFailsAreAdmitted(Throwable failure) {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        queues.enqueue(SERVICE, new CallingRequest(() -> throwUnchecked(failure)), 0, 0, START_WITHIN_MILLIS);
        Request next = new Request(1);
        queues.enqueue(SERVICE, next, 0, 1, START_WITHIN_MILLIS);
        timers.runUntil(100);
        assertTrue(next.startMillis >= 0);
        assertEquals(metrics.counter(LoopFailures.getCounterName("admission")).getCount(), 1);
    }

    /** Guards against a queue that admits no request any more after the reports of other nodes could not be read. */
    @Test(dataProvider = "failures")
    public void requestsAreAdmittedAfterAFailedRound(Throwable failure) {
        boolean[] fails = {true};
        AdmissionQueues queues = createQueues(
                service -> {
                    if (fails[0]) {
                        fails[0] = false;
                        throwUnchecked(failure);
                    }
                    return false;
                },
                () -> {});
        Request overdue = new Request(0);
        timers.runUntil(START_WITHIN_MILLIS);
        queues.enqueue(SERVICE, overdue, 0, 0, 0);
        timers.runUntil(START_WITHIN_MILLIS + 100);
        assertTrue(overdue.startMillis >= 0);
    }

    /** Guards against a deadlock of the lock of a queue with those of the components that an attempt calls. */
    @Test
    public void theQueueIsNotLockedDuringAnAttempt() {
        AdmissionQueues queues = createQueues(service -> false, () -> {});
        boolean[] returned = {false};
        queues.enqueue(
                SERVICE,
                new CallingRequest(() -> returned[0] = returnsOnAnotherThread(queues::getServicesWithOnTimeRequests)),
                0,
                0,
                START_WITHIN_MILLIS);
        assertTrue(returned[0]);
    }

    private static boolean returnsOnAnotherThread(Runnable call) {
        Thread thread = new Thread(call);
        thread.setDaemon(true);
        thread.start();
        try {
            thread.join(BLOCKED_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return !thread.isAlive();
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    /** Returns the requests of the node without a burst, which arrive after the burst. */
    private List<Request> simulateBurst(boolean withReports) {
        boolean[] reportsOnTime = new boolean[NODES];
        List<AdmissionQueues> queues = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            int self = node;
            queues.add(createQueues(
                    service -> withReports
                            && IntStream.range(0, NODES).anyMatch(other -> other != self && reportsOnTime[other]),
                    () -> timers.at(
                            timers.now() + REPORT_DELAY_MILLIS,
                            () -> reportsOnTime[self] = !queues.get(self)
                                    .getServicesWithOnTimeRequests()
                                    .isEmpty())));
        }
        for (int i = 0; i < 4 * CAPACITY; i++) {
            scheduleArrival(queues.get(i % (NODES - 1)), i);
        }
        List<Request> others = new ArrayList<>();
        for (long at = MEAN_DURATION_MILLIS; at < 5 * MEAN_DURATION_MILLIS; at += 2 * MEAN_DURATION_MILLIS / CAPACITY) {
            others.add(scheduleArrival(queues.get(NODES - 1), at));
        }
        timers.runUntil(10 * MEAN_DURATION_MILLIS);
        return others;
    }

    private static long countOverdue(List<Request> requests) {
        return requests.stream()
                .filter(r -> r.startMillis < 0 || r.startMillis > r.arrivalMillis + START_WITHIN_MILLIS)
                .count();
    }

    private Request scheduleArrival(AdmissionQueues queues, long atMillis) {
        Request request = new Request(atMillis);
        timers.at(atMillis, () -> queues.enqueue(SERVICE, request, 0, atMillis, atMillis + START_WITHIN_MILLIS));
        return request;
    }

    private AdmissionQueues createQueues(Predicate<String> onTimeElsewhere, Runnable onChange) {
        return new AdmissionQueues(
                timers, timers::now, random::nextDouble, onTimeElsewhere, onChange, LoopFailures.create(metrics));
    }

    private final class Request implements AdmissionQueues.WaitingRequest {
        private final long arrivalMillis;
        private final int capacity;
        private long startMillis = -1;

        Request(long arrivalMillis) {
            this(arrivalMillis, 1);
        }

        Request(long arrivalMillis, int capacity) {
            this.arrivalMillis = arrivalMillis;
            this.capacity = capacity;
        }

        @Override
        public AdmissionQueues.Outcome tryAdmit() {
            if (freeCapacity < capacity) {
                return AdmissionQueues.Outcome.NO_CAPACITY;
            }
            freeCapacity -= capacity;
            startMillis = timers.now();
            long durationMillis = (long) (MEAN_DURATION_MILLIS * (0.25 + 1.5 * random.nextDouble()));
            timers.at(timers.now() + durationMillis, () -> freeCapacity += capacity);
            return AdmissionQueues.Outcome.ADMITTED;
        }

        @Override
        public void withdraw() {
            // The request does not ask for capacity.
        }

        @Override
        public int getTokens() {
            return 1;
        }

        @Override
        public boolean isDone() {
            return false;
        }
    }

    /** A request whose reservation is granted before its attempt returns, as when the node owns the reservations. */
    private final class ReservingRequest implements AdmissionQueues.WaitingRequest {
        private final AdmissionQueues queues;
        private boolean done;

        ReservingRequest(AdmissionQueues queues) {
            this.queues = queues;
        }

        @Override
        public AdmissionQueues.Outcome tryAdmit() {
            if (freeCapacity == 0) {
                return AdmissionQueues.Outcome.NO_CAPACITY;
            }
            freeCapacity--;
            done = true;
            queues.handleReservationResult(SERVICE, this, true);
            return AdmissionQueues.Outcome.PENDING;
        }

        @Override
        public void withdraw() {
            // The request does not ask for capacity.
        }

        @Override
        public int getTokens() {
            return 1;
        }

        @Override
        public boolean isDone() {
            return done;
        }
    }

    /** A request that waits at owners. */
    private static final class AskingRequest implements AdmissionQueues.WaitingRequest {
        private int asked;
        private boolean withdrawn;
        private boolean done;

        @Override
        public AdmissionQueues.Outcome tryAdmit() {
            asked++;
            return AdmissionQueues.Outcome.PENDING;
        }

        @Override
        public void withdraw() {
            withdrawn = true;
        }

        @Override
        public int getTokens() {
            return 100;
        }

        @Override
        public boolean isDone() {
            return done;
        }
    }

    /** A request that makes a call in its attempt. */
    private record CallingRequest(Runnable call) implements AdmissionQueues.WaitingRequest {
        @Override
        public AdmissionQueues.Outcome tryAdmit() {
            call.run();
            return AdmissionQueues.Outcome.ADMITTED;
        }

        @Override
        public void withdraw() {
            // The request does not ask for capacity.
        }

        @Override
        public int getTokens() {
            return 1;
        }

        @Override
        public boolean isDone() {
            return false;
        }
    }
}
