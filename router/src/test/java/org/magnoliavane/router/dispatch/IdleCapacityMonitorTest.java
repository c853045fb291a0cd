package org.magnoliavane.router.dispatch;

import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.VirtualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Two decode workers, a prefill worker, and requests that are admitted only when the test lets them. */
public class IdleCapacityMonitorTest {
    private static final String SERVICE = "llm";

    private final boolean[] admits = new boolean[1];
    private VirtualTimers timers;
    private MetricRegistry metrics;
    private WorkerLoadTracker loadTracker;
    private AdmissionQueues queues;
    private IdleCapacityMonitor monitor;

    @BeforeMethod
    public void createQueue() {
        admits[0] = false;
        timers = new VirtualTimers();
        metrics = new MetricRegistry();
        loadTracker = new WorkerLoadTracker(() -> {});
        RoutingState routingState = new RoutingState();
        routingState.setWorkers(Map.of(
                SERVICE,
                List.of(
                        createWorker("d1", WorkerRole.DECODE),
                        createWorker("d2", WorkerRole.DECODE),
                        createWorker("p1", WorkerRole.PREFILL))));
        queues = new AdmissionQueues(
                timers, timers::now, () -> 0.5, service -> false, () -> {}, LoopFailures.create(metrics));
        monitor = IdleCapacityMonitor.create(queues, routingState, loadTracker, timers::now, metrics);
    }

    /** Guards against a service that refuses all requests beside idle workers, and no log or metric that shows it. */
    @Test
    public void requestsThatWaitBesideAnIdleWorkerAreReported() {
        loadTracker.recordStart("d1", 100);
        enqueue();
        assertEquals(countReportsAt(1000), 0);
        assertEquals(countReportsAt(1500), 1);
        assertEquals(countReportsAt(2000), 2);
    }

    @Test
    public void requestsThatWaitForBusyWorkersAreNotReported() {
        loadTracker.recordStart("d1", 100);
        loadTracker.recordStart("d2", 100);
        enqueue();
        assertEquals(countReportsAt(5000), 0);
    }

    /** Idle decode workers are of no use while the prompts wait for a prefill. */
    @Test
    public void requestsThatWaitForAPrefillWorkerAreNotReported() {
        loadTracker.recordStart("p1", 100);
        enqueue();
        assertEquals(countReportsAt(5000), 0);
    }

    @Test
    public void aQueueOfWhichRequestsAreAdmittedIsNotReported() {
        enqueue();
        timers.runUntil(1400);
        admits[0] = true;
        timers.runUntil(1450);
        admits[0] = false;
        enqueue();
        assertEquals(countReportsAt(2000), 0);
    }

    private void enqueue() {
        queues.enqueue(SERVICE, new Request(), 0, timers.now(), timers.now() + 900);
    }

    private long countReportsAt(long millis) {
        timers.runUntil(millis);
        monitor.check();
        return metrics.counter(IdleCapacityMonitor.COUNTER).getCount();
    }

    private static ListedWorker createWorker(String id, WorkerRole role) {
        return new ListedWorker(new BackendServer(id, SERVICE, role, "127.0.0.1", 1, "z", false), 6, 1);
    }

    private final class Request implements AdmissionQueues.WaitingRequest {
        @Override
        public AdmissionQueues.Outcome tryAdmit() {
            return admits[0] ? AdmissionQueues.Outcome.ADMITTED : AdmissionQueues.Outcome.NO_CAPACITY;
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
