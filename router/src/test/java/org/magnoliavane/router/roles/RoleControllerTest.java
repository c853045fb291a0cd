package org.magnoliavane.router.roles;

import java.util.ArrayList;
import java.util.List;

import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.RoutingState;
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
