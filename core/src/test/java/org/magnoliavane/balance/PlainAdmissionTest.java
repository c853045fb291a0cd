package org.magnoliavane.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.stream.IntStream;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Load of deployment P: 82.3 plain requests a second at 18 slots of 85.7 ms, target 390 ms, limit 1,517 ms; bursts of 2.3
 * times that; 66 nodes.
 */
public class PlainAdmissionTest {
    private static final double SERVICE_MILLIS = 85.7;
    private static final double REQUESTS_PER_SECOND = 82.3;
    private static final int SLOTS = 6;
    private static final long TARGET_MILLIS = 390;
    private static final long LIMIT_MILLIS = 1517;
    private static final double RUN_MILLIS = 5000;

    @Test
    public void onlyAFleetWithMoreNodesThanSlotsNeedsSlots() {
        assertTrue(PlainAdmission.of(66, createWorkers(3), 460).needsSlots());
        assertFalse(PlainAdmission.of(7, createWorkers(3), 460).needsSlots());
    }

    /** Guards against connections beyond the cap of a worker, which resets those that exceed it. */
    @Test
    public void theNodesTogetherStayWithinTheConnectionsOfAWorker() {
        assertEquals(PlainAdmission.of(66, createWorkers(3), 460).getMaxRequestsPerWorker(), 6);
        assertEquals(PlainAdmission.of(95, createWorkers(3), 60).getMaxRequestsPerWorker(), 1);
    }

    /** Guards against a request that is held for most of its time and refused then. */
    @Test
    public void aRequestWaitsOnlyWhileItCanBeOnTime() {
        PlainAdmission admission = PlainAdmission.of(66, createWorkers(3), 460);
        PlainAdmission.Times times = new PlainAdmission.Times(0, TARGET_MILLIS, LIMIT_MILLIS);
        ListedWorker worker = createWorkers(1).get(0);
        assertEquals(
                admission
                        .createDemand(worker, 0, times, SERVICE_MILLIS, true, true, 0)
                        .waitMillis(),
                262);
        Demand overdue = admission.createDemand(worker, 0, times, SERVICE_MILLIS, true, true, 500);
        assertEquals(overdue.waitMillis(), 638);
        assertEquals(
                admission
                        .createDemand(worker, 0, times, SERVICE_MILLIS, true, true, 1200)
                        .waitMillis(),
                0);
        assertEquals(
                admission
                        .createDemand(worker, 0, times, SERVICE_MILLIS, false, false, 0)
                        .waitMillis(),
                0);
    }

    @Test
    public void theUsualLoadAndABurstOf2Point3AreServedOnTime() {
        assertTrue(new Play(3, 1).run().onTime >= 0.99);
        Result burst = new Play(3, 2.3).run();
        assertTrue(burst.onTime >= 0.95, burst.toString());
    }

    /** Guards against a burst in which every request is late, because all wait for the two workers that are left. */
    @Test
    public void withOneOfThreeWorkersGoneTheExcessIsRefusedAtOnceAndTheRestIsOnTime() {
        Result burst = new Play(2, 2.3).run();
        assertTrue(burst.onTime >= 0.65, burst.toString());
        assertTrue(burst.late <= 0.03, burst.toString());
        assertTrue(burst.meanRefusalMillis < 100, burst.toString());
    }

    /** Prints the figures of docs/design/load-balancing.md, and guards against a gain that is only in one of the loads. */
    @Test
    public void slotsServeMoreOnTimeThanTheFewestReportedRequests() {
        for (double[] load : new double[][] {{3, 1}, {3, 2.3}, {2, 1}, {2, 2.3}}) {
            Result before = new Play((int) load[0], load[1]).withoutSlots().run();
            Result slots = new Play((int) load[0], load[1]).run();
            System.out.printf("| %.0f | %.1f | %s | %s |%n", load[0], load[1], before, slots);
            assertTrue(slots.onTime >= before.onTime - 0.01, before + " " + slots);
        }
    }

    private static List<ListedWorker> createWorkers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new ListedWorker(
                        new BackendServer("w" + i, "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", false), SLOTS, 1))
                .toList();
    }

    private record Result(double onTime, double late, double refused, double meanRefusalMillis) {
        @Override
        public String toString() {
            return String.format("%.3f / %.3f / %.3f, %.0f ms", onTime, late, refused, meanRefusalMillis);
        }
    }

    private record Event(double atMillis, Runnable task) {}

    /** Plays requests of 66 nodes, whose reports are 1 s old, at workers with a queue of 24. */
    private static final class Play {
        private static final int NODES = 66;
        private static final int QUEUE = 24;
        private final Random random = new Random(1);
        private final List<ListedWorker> workers;
        private final double intervalMillis;
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
        private final ReservationTable table = new ReservationTable(3000);
        private final Map<Long, Request> requests = new HashMap<>();
        private final int[] active;
        private final int[] reported;
        private final List<Queue<Request>> queues = new ArrayList<>();
        private boolean withSlots = true;
        private double now;
        private long onTime;
        private long late;
        private long refused;
        private double refusalMillis;

        Play(int workerCount, double load) {
            workers = createWorkers(workerCount);
            intervalMillis = 1000 / (REQUESTS_PER_SECOND * load);
            active = new int[workerCount];
            reported = new int[workerCount];
            workers.forEach(w -> queues.add(new ArrayDeque<>()));
        }

        Play withoutSlots() {
            withSlots = false;
            return this;
        }

        Result run() {
            schedule(0, this::arrive);
            schedule(0, this::report);
            while (!events.isEmpty()) {
                Event event = events.poll();
                now = event.atMillis;
                event.task.run();
            }
            double total = onTime + late + refused;
            return new Result(onTime / total, late / total, refused / total, refusalMillis / Math.max(1, refused));
        }

        private void schedule(double delayMillis, Runnable task) {
            events.add(new Event(now + delayMillis, task));
        }

        private void report() {
            for (int w = 0; w < active.length; w++) {
                reported[w] = active[w] + queues.get(w).size();
            }
            if (now < RUN_MILLIS) {
                schedule(1000, this::report);
            }
        }

        private void arrive() {
            Request request = new Request(now, requests.size() + 1);
            requests.put(request.id, request);
            int first = random.nextInt(workers.size());
            if (withSlots) {
                ask(request, first);
            } else {
                for (int w = 0; w < workers.size(); w++) {
                    first = reported[w] < reported[first] ? w : first;
                }
                send(request, first);
            }
            if (now < RUN_MILLIS) {
                schedule(-Math.log(1 - random.nextDouble()) * intervalMillis, this::arrive);
            }
        }

        /** Asks as CapacityRequest does: another owner if the request waits or is rejected, at most two. */
        private void ask(Request request, int worker) {
            PlainAdmission admission = PlainAdmission.of(NODES, workers, 460);
            PlainAdmission.Times times = new PlainAdmission.Times(
                    (long) request.arrivalMillis, TARGET_MILLIS, (long) request.arrivalMillis + LIMIT_MILLIS);
            Demand demand =
                    admission.createDemand(workers.get(worker), 0, times, SERVICE_MILLIS, true, true, (long) now);
            request.asked++;
            Reply reply = table.request("n" + request.id % NODES, request.id, demand, (long) now);
            switch (reply) {
                case GRANTED -> grant(request, worker);
                case WAITING -> {
                    request.waitsAt.add(worker);
                    schedule(demand.waitMillis(), () -> endWait(request, worker));
                    askAnother(request, worker);
                }
                default -> {
                    askAnother(request, worker);
                    refuseIfRejected(request);
                }
            }
        }

        private void askAnother(Request request, int worker) {
            if (request.asked < 2) {
                schedule(1, () -> {
                    if (!request.done) {
                        ask(request, (worker + 1) % workers.size());
                    }
                });
            }
        }

        private void endWait(Request request, int worker) {
            if (!request.done) {
                request.waitsAt.remove((Integer) worker);
                table.release(workers.get(worker).id(), "n" + request.id % NODES, request.id, (long) now);
                refuseIfRejected(request);
            }
        }

        private void refuseIfRejected(Request request) {
            if (request.waitsAt.isEmpty() && request.asked == 2) {
                refuse(request);
            }
        }

        private void grant(Request request, int worker) {
            if (request.done) {
                release(worker, request);
                return;
            }
            request.done = true;
            for (int other : request.waitsAt) {
                if (other != worker) {
                    release(other, request);
                }
            }
            send(request, worker);
        }

        private void release(int worker, Request request) {
            String id = workers.get(worker).id();
            table.release(id, "n" + request.id % NODES, request.id, (long) now);
            table.takeGrants(id, (long) now).forEach(h -> grant(requests.get(h.id()), worker));
        }

        private void send(Request request, int worker) {
            if (active[worker] < SLOTS) {
                start(request, worker);
            } else if (queues.get(worker).size() < QUEUE) {
                queues.get(worker).add(request);
            } else if (++request.sends < workers.size()) {
                send(request, (worker + 1) % workers.size());
            } else {
                refuse(request);
            }
        }

        private void start(Request request, int worker) {
            active[worker]++;
            schedule(SERVICE_MILLIS * (0.9 + 0.2 * random.nextDouble()), () -> {
                active[worker]--;
                double millis = now - request.arrivalMillis;
                onTime += millis <= TARGET_MILLIS ? 1 : 0;
                late += millis > TARGET_MILLIS ? 1 : 0;
                Request next = queues.get(worker).poll();
                if (next != null) {
                    start(next, worker);
                }
                if (withSlots) {
                    release(worker, request);
                }
            });
        }

        private void refuse(Request request) {
            request.done = true;
            refused++;
            refusalMillis += now - request.arrivalMillis;
        }
    }

    private static final class Request {
        final double arrivalMillis;
        final long id;
        final List<Integer> waitsAt = new ArrayList<>();
        int asked;
        int sends;
        boolean done;

        Request(double arrivalMillis, long id) {
            this.arrivalMillis = arrivalMillis;
            this.id = id;
        }
    }
}
