package org.magnoliavane.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;

/**
 * Plays prefills of many nodes at workers of speeds 0.6, 1.0 and 1.6 in virtual time. Each node knows the load of the others
 * from reports that are sent at an interval.
 */
final class StaleReportsRun {
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final int TOKENS = 5200;
    private static final double WORK_MILLIS = 95;

    /** Workers are 2.5 times slower for 0.15 of the time, in periods of 600 ms. */
    private static final double SLOW_SHARE = 0.15;

    private static final double SLOW_FACTOR = 2.5;
    private static final long SLOW_PERIOD_MILLIS = 600;

    /** Time at the start that is not counted, in which the speeds are measured. */
    private static final long WARM_UP_MILLIS = 20_000;

    private static final long RUN_MILLIS = 40_000;

    /** Time for which a prefill waits for a slot. */
    private static final double MAX_WAIT_MILLIS = 3 * WORK_MILLIS;

    private static final int WAITS = -1;

    /** Chooses a worker for a request of a node, or {@link #WAITS}. */
    interface Way {
        int choose(StaleReportsRun run, int node, long nowMillis);
    }

    final List<ListedWorker> workers;
    final List<WorkerLoadTracker> trackers = new ArrayList<>();
    final List<WorkerSelector> selectors = new ArrayList<>();
    final Random random = new Random(1);
    final int[] active;
    final double[] freeAtMillis;
    private final long[] slowOffset;
    private final double[][] workBySecond;
    private final List<Double> times = new ArrayList<>();
    private final List<Queue<Waiting>> waiting = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));

    StaleReportsRun(int nodes, int workerCount) {
        workers = IntStream.range(0, workerCount)
                .mapToObj(i -> new ListedWorker(
                        new BackendServer("w" + i, "s", WorkerRole.PREFILL, "127.0.0.1", 80, "z", false), 1, 1))
                .toList();
        for (int i = 0; i < nodes; i++) {
            trackers.add(new WorkerLoadTracker(() -> {}));
            selectors.add(new WorkerSelector(trackers.get(i), "z", random::nextDouble));
        }
        active = new int[workerCount];
        freeAtMillis = new double[workerCount];
        workers.forEach(w -> waiting.add(new ArrayDeque<>()));
        slowOffset = random.longs(workerCount, 0, 4000).toArray();
        workBySecond = new double[(int) (RUN_MILLIS / 1000) + 1][workerCount];
    }

    static double getSpeed(int worker) {
        return SPEEDS[worker % SPEEDS.length];
    }

    /**
     * Plays requests that use a share of the workers.
     *
     * @return the result
     */
    Result play(Way way, double utilization, long reportMillis) {
        double capacity =
                IntStream.range(0, workers.size()).mapToDouble(w -> getSpeed(w)).sum()
                        / (1 + SLOW_SHARE * (SLOW_FACTOR - 1));
        double intervalMillis = WORK_MILLIS / (utilization * capacity);
        for (int n = 0; n < trackers.size(); n++) {
            int node = n;
            events.add(new Event(random.nextDouble() * reportMillis, t -> report(node, (long) t, reportMillis)));
        }
        events.add(new Event(0, t -> arrive(way, t, intervalMillis)));
        while (!events.isEmpty() && events.peek().atMillis < WARM_UP_MILLIS + RUN_MILLIS) {
            Event event = events.poll();
            event.task.run(event.atMillis);
        }
        return Result.of(workBySecond, times);
    }

    private void report(int node, long nowMillis, long intervalMillis) {
        Map<String, WorkerLoadTracker.Load> loads =
                Map.copyOf(trackers.get(node).getOwnLoads(nowMillis));
        Map<String, WorkerSpeeds.Measurement> measurements =
                trackers.get(node).getSpeeds().getNextMeasurements(16, nowMillis);
        for (int other = 0; other < trackers.size(); other++) {
            if (other != node) {
                trackers.get(other).updatePeerLoads("n" + node, loads, nowMillis);
                trackers.get(other).getSpeeds().updatePeerMeasurements("n" + node, measurements, nowMillis);
            }
        }
        events.add(new Event(nowMillis + intervalMillis, t -> report(node, (long) t, intervalMillis)));
    }

    private void arrive(Way way, double now, double intervalMillis) {
        int node = random.nextInt(trackers.size());
        int worker = way.choose(this, node, (long) now);
        if (worker != WAITS) {
            start(node, worker, now, now);
        }
        double next = now - Math.log(1 - random.nextDouble()) * intervalMillis;
        events.add(new Event(next, t -> arrive(way, t, intervalMillis)));
    }

    private void startWaiting(Waiting request, int worker, double now) {
        if (!request.started) {
            request.started = true;
            start(request.node, worker, request.arrivalMillis, now);
        }
    }

    private void start(int node, int worker, double arrivalMillis, double now) {
        String id = workers.get(worker).id();
        WorkerLoadTracker tracker = trackers.get(node);
        boolean idle = tracker.countTokens(id, (long) now) == 0;
        double start = Math.max(now, freeAtMillis[worker]);
        boolean slow = Math.floorMod((long) start + slowOffset[worker], 4000L) < SLOW_PERIOD_MILLIS;
        double end = start + WORK_MILLIS / getSpeed(worker) * (slow ? SLOW_FACTOR : 1);
        freeAtMillis[worker] = end;
        active[worker]++;
        tracker.recordStart(id, TOKENS);
        if (now >= WARM_UP_MILLIS) {
            workBySecond[(int) ((now - WARM_UP_MILLIS) / 1000)][worker] += 1 / getSpeed(worker);
            times.add(end - arrivalMillis);
        }
        events.add(new Event(end, t -> {
            active[worker]--;
            tracker.recordEnd(id, TOKENS);
            if (idle) {
                tracker.getSpeeds().recordPrefill("s", id, TOKENS, (long) (t - now), (long) t);
            }
            grantNext(worker, t);
        }));
    }

    private void grantNext(int worker, double now) {
        Queue<Waiting> queue = waiting.get(worker);
        while (active[worker] == 0 && !queue.isEmpty()) {
            startWaiting(queue.poll(), worker, now);
        }
    }

    /** Takes the worker with the fewest tokens as reported, as before workers were drawn. */
    static int chooseLeastReported(StaleReportsRun run, int node, long nowMillis) {
        return run.findBest(w ->
                run.trackers.get(node).countTokens(run.workers.get(w).id(), nowMillis) / 5000.0
                        + 0.05 * run.random.nextDouble());
    }

    /** Takes a worker of a small fleet by expected delay: the lowest of all. */
    static int chooseLowestDelay(StaleReportsRun run, int node, long nowMillis) {
        WorkerLoadTracker tracker = run.trackers.get(node);
        return run.findBest(w -> {
            String id = run.workers.get(w).id();
            double activeMillis = 1.5 * tracker.getSpeeds().getPrefillMillis("s", id, 5000, nowMillis);
            return (tracker.estimateTokens(id, activeMillis, nowMillis) / 5000 + 0.5)
                            / tracker.getSpeeds().getSpeed(id, nowMillis)
                    + 0.05 * run.random.nextDouble();
        });
    }

    /** Takes a worker at random in proportion to its headroom as reported. */
    static int chooseByHeadroom(StaleReportsRun run, int node, long nowMillis) {
        WorkerLoadTracker tracker = run.trackers.get(node);
        // The smallest of exponential variables is the one of a worker with a probability in proportion to its rate.
        return run.findBest(w -> {
            String id = run.workers.get(w).id();
            double headroom =
                    tracker.getSpeeds().getSpeed(id, nowMillis) / (1 + tracker.countTokens(id, nowMillis) / 5000.0);
            return -Math.log(1 - run.random.nextDouble()) / headroom;
        });
    }

    /** Draws two workers. */
    static int chooseDrawn(StaleReportsRun run, int node, long nowMillis) {
        return run.draw(node, Set.of(), nowMillis);
    }

    /** Asks the reservation owners of some drawn workers for their only slot, and waits there if all are busy. */
    static Way chooseGranted(int asked) {
        return (run, node, nowMillis) -> {
            Set<String> drawn = new LinkedHashSet<>();
            List<Integer> busy = new ArrayList<>();
            while (busy.size() < Math.min(asked, run.workers.size())) {
                int worker = run.draw(node, drawn, nowMillis);
                if (run.active[worker] == 0) {
                    return worker;
                }
                drawn.add(run.workers.get(worker).id());
                busy.add(worker);
            }
            Waiting waiting = new Waiting(node, nowMillis);
            busy.forEach(w -> run.waiting.get(w).add(waiting));
            run.events.add(new Event(nowMillis + MAX_WAIT_MILLIS, t -> run.startWaiting(waiting, busy.get(0), t)));
            return WAITS;
        };
    }

    /** Takes the worker that will end the request first, from the present state of all workers. */
    static int chooseWithPresentState(StaleReportsRun run, int node, long nowMillis) {
        return run.findBest(
                w -> Math.max(nowMillis, run.freeAtMillis[w]) + WORK_MILLIS / getSpeed(w) + run.random.nextDouble());
    }

    private int draw(int node, Set<String> excluded, long nowMillis) {
        return workers.indexOf(selectors
                .get(node)
                .choosePrefill(workers, excluded, "z", nowMillis)
                .orElseThrow());
    }

    private int findBest(IntToDoubleFunction cost) {
        int best = 0;
        double lowest = Double.POSITIVE_INFINITY;
        for (int w = 0; w < workers.size(); w++) {
            double value = cost.applyAsDouble(w);
            if (value < lowest) {
                lowest = value;
                best = w;
            }
        }
        return best;
    }

    private interface Task {
        void run(double nowMillis);
    }

    private record Event(double atMillis, Task task) {}

    private static final class Waiting {
        final int node;
        final double arrivalMillis;
        boolean started;

        Waiting(int node, double arrivalMillis) {
            this.node = node;
            this.arrivalMillis = arrivalMillis;
        }
    }

    /**
     * What a run shows.
     *
     * @param busiestSecond the busiest worker against the mean relative to speed, in the median second
     * @param busiestAny the same in the worst second
     * @param busiestRun the same over the whole run
     * @param meanMillis the mean time of a request, including the wait
     * @param highMillis the 95th percentile of that time
     */
    record Result(double busiestSecond, double busiestAny, double busiestRun, double meanMillis, double highMillis) {
        static Result of(double[][] workBySecond, List<Double> times) {
            int seconds = workBySecond.length - 1;
            double[] ratios = new double[seconds];
            double[] total = new double[workBySecond[0].length];
            for (int s = 0; s < seconds; s++) {
                ratios[s] = getRatio(workBySecond[s]);
                for (int w = 0; w < total.length; w++) {
                    total[w] += workBySecond[s][w];
                }
            }
            Arrays.sort(ratios);
            times.sort(null);
            return new Result(
                    ratios[seconds / 2],
                    ratios[seconds - 1],
                    getRatio(total),
                    times.stream().mapToDouble(d -> d).average().orElse(0),
                    times.get((int) (0.95 * times.size())));
        }

        /** Gets the load of the busiest worker against the mean of all, each relative to speed and the latter weighted by it. */
        private static double getRatio(double[] work) {
            double sum = 0;
            double speeds = 0;
            for (int w = 0; w < work.length; w++) {
                sum += work[w] * getSpeed(w);
                speeds += getSpeed(w);
            }
            return Arrays.stream(work).max().orElse(0) / Math.max(sum / speeds, 1e-9);
        }
    }
}
