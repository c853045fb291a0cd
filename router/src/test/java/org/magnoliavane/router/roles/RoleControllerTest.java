package org.magnoliavane.router.roles;

import java.util.ArrayList;
import java.util.List;

import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.VirtualTimers;
import org.magnoliavane.router.store.FakeKeyedStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RoleControllerTest {
    private static final long BLOCKED_MILLIS = 5000;

    /** Guards against a deadlock of the locks of the controller and of the followers, which stopped all timers of a process. */
    @Test
    public void theControllerIsNotLockedWhileItAsksWhetherItsNodeIsElected() {
        List<RoleController> controllers = new ArrayList<>();
        List<Boolean> returned = new ArrayList<>();
        controllers.add(new RoleController(
                () -> {
                    returned.add(returnsOnAnotherThread(() -> controllers.get(0).onRoleListed("w1")));
                    returned.add(returnsOnAnotherThread(controllers.get(0)::getPendingChanges));
                    return false;
                },
                new RoutingState(),
                new WorkerLoadTracker(() -> {}),
                null,
                () -> 0));
        controllers.get(0).evaluateServices();
        assertEquals(returned, List.of(true, true));
    }

    /** Guards against a priced call of each node of a starting deployment, which elects itself until it knows the others. */
    @Test
    public void theOrderLeaseIsPreparedOnlyByANodeThatStaysElected() {
        VirtualTimers timers = new VirtualTimers();
        FakeKeyedStore store = new FakeKeyedStore(timers);
        for (int i = 0; i < 66; i++) {
            // All but the last node learn of a better one within 2.2 s.
            long electedMillis = i == 65 ? Long.MAX_VALUE : 33L * i;
            RoleController controller = new RoleController(
                    () -> timers.now() <= electedMillis,
                    new RoutingState(),
                    new WorkerLoadTracker(() -> {}),
                    new RoleOrderSender("n" + i, store, w -> true, null, null, 3000, timers::now),
                    timers::now);
            for (long at = 0; at <= 3000; at += 250) {
                timers.at(at, controller::evaluateServices);
            }
        }
        timers.runUntil(2400);
        assertEquals(store.getClaimCount(), 0);
        timers.runUntil(3000);
        assertEquals(store.getClaimCount(), 1);
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
}
