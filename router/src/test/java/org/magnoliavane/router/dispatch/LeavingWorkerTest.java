package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests requests whose worker leaves after it was chosen, with workers on loopback. Pattern: workers are replaced while
 * requests wait for reservations, prefills and connections.
 */
public class LeavingWorkerTest {
    private DispatchHarness harness;
    private Optional<DispatchHarness.Worker> leaving;

    @BeforeMethod
    public void startWorkers() throws IOException {
        harness = new DispatchHarness();
        leaving = Optional.empty();
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws IOException {
        harness.close();
    }

    @DataProvider
    public Object[][] roles() {
        return new Object[][] {{WorkerRole.PLAIN}, {WorkerRole.PREFILL}, {WorkerRole.DECODE}};
    }

    /**
     * Guards against requests sent to a worker whose notice was learned after the worker was chosen, while it was being
     * connected.
     */
    @Test(dataProvider = "roles")
    public void aRequestIsNotSentToAWorkerThatLeavesWhileItIsBeingConnected(WorkerRole role) throws Exception {
        harness.onChoice = worker -> leave(worker, role, listed -> Optional.of(listed.withLeaving()));
        assertEquals(harness.send(role), "done");
        assertNothingReachedTheLeavingWorker();
    }

    /** Guards against requests sent to a worker that was removed without a notice after it was chosen. */
    @Test(dataProvider = "roles")
    public void aRequestIsNotSentToAWorkerThatIsRemovedWhileItIsBeingConnected(WorkerRole role) throws Exception {
        harness.onChoice = worker -> leave(worker, role, listed -> Optional.empty());
        assertEquals(harness.send(role), "done");
        assertNothingReachedTheLeavingWorker();
    }

    /** Guards against requests sent to a worker that restarted after it was chosen and does not know its earlier state. */
    @Test(dataProvider = "roles")
    public void aRequestIsNotSentToAWorkerThatRestartsWhileItIsBeingConnected(WorkerRole role) throws Exception {
        harness.onChoice = worker ->
                leave(worker, role, w -> Optional.of(new ListedWorker(w.server(), w.slots(), w.startedAtMillis() + 1)));
        assertEquals(harness.send(role), "done");
        assertNothingReachedTheLeavingWorker();
    }

    @Test(dataProvider = "roles")
    public void aRequestThatWasNotSentNeedsNoRetryBudgetForTheNextWorker(WorkerRole role) throws Exception {
        harness.retryAllowance = 0;
        harness.onChoice = worker -> leave(worker, role, listed -> Optional.of(listed.withLeaving()));
        assertEquals(harness.send(role), "done");
        assertNothingReachedTheLeavingWorker();
    }

    /** Guards against requests already chosen and not yet sent when another answer of the worker announced its leaving. */
    @Test(dataProvider = "roles")
    public void aRequestIsNotSentToAWorkerThatAnnouncesItsLeavingWhileItIsBeingConnected(WorkerRole role)
            throws Exception {
        harness.onChoice = worker -> leave(worker, role, listed -> {
            harness.loadTracker.getNotices().recordLeaving(listed, System.nanoTime() / 1_000_000);
            return Optional.of(listed);
        });
        assertEquals(harness.send(role), "done");
        assertNothingReachedTheLeavingWorker();
    }

    /** Guards against requests already chosen and not yet sent when the worker refused another one for some time. */
    @Test(dataProvider = "roles")
    public void aRequestIsNotSentToAWorkerThatClosesWhileItIsBeingConnected(WorkerRole role) throws Exception {
        harness.onChoice = worker -> leave(worker, role, listed -> {
            harness.loadTracker.getNotices().close(listed, 60_000, System.nanoTime() / 1_000_000);
            return Optional.of(listed);
        });
        assertEquals(harness.send(role), "done");
        assertNothingReachedTheLeavingWorker();
    }

    /** Changes the listing of the first worker with a role that is chosen. */
    private void leave(ListedWorker chosen, WorkerRole role, Function<ListedWorker, Optional<ListedWorker>> change) {
        if (chosen.server().role() != role || leaving.isPresent()) {
            return;
        }
        leaving = harness.getWorkers().stream()
                .filter(w -> w.listed.id().equals(chosen.id()))
                .findFirst();
        harness.list(harness.getWorkers().stream()
                .flatMap(w -> (w == leaving.get() ? change.apply(w.listed) : Optional.of(w.listed)).stream())
                .toList());
    }

    private void assertNothingReachedTheLeavingWorker() {
        assertEquals(leaving.get().requests, List.of());
        assertEquals(countOtherRequests(leaving.get().listed.server().role()), 1);
    }

    private int countOtherRequests(WorkerRole role) {
        return harness.getWorkers().stream()
                .filter(w -> w.listed.server().role() == role && w != leaving.get())
                .mapToInt(w -> w.requests.size())
                .sum();
    }
}
