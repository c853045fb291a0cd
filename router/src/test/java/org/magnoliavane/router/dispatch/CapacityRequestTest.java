package org.magnoliavane.router.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CapacityRequestTest {
    private static final int WORKERS = 10;

    private final Map<String, Consumer<Reply>> asked = new HashMap<>();
    private final List<String> order = new ArrayList<>();
    private final List<String> released = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private Optional<String> free = Optional.empty();
    private boolean overdue;
    private CapacityRequest request;

    @BeforeMethod
    public void createRequest() {
        asked.clear();
        order.clear();
        released.clear();
        events.clear();
        tasks.clear();
        free = Optional.empty();
        overdue = false;
        request = new CapacityRequest(
                this::reserve, () -> overdue, tasks::add, this::choose, CapacityRequestTest::demand, new Results());
        request.ask(new CapacityRequest.Candidate(worker("w0"), true));
    }

    /** Guards against messages to several owners while capacity is free. */
    @Test
    public void aRequestThatIsGrantedAtOnceAsksOneOwner() {
        reply("w0", Reply.GRANTED);
        assertEquals(events, List.of("granted w0"));
        assertEquals(order, List.of("w0"));
        assertEquals(released, List.of());
    }

    /** Guards against memory that stays reserved at the owners whose grants come later. */
    @Test
    public void theFirstGrantIsTakenAndTheOthersAreWithdrawn() {
        reply("w0", Reply.WAITING);
        reply("w1", Reply.WAITING);
        reply("w1", Reply.GRANTED);
        assertEquals(events, List.of("waiting w0", "waiting w1", "granted w1"));
        assertEquals(released, List.of("w0", "w2"));
        reply("w0", Reply.GRANTED);
        assertEquals(events.size(), 3);
        assertEquals(released, List.of("w0", "w2", "w0"));
    }

    @Test
    public void aRequestThatCanBeOnTimeWaitsAtSixOwnersAndAnOverdueOneAtOne() {
        for (int i = 0; i < WORKERS && asked.containsKey("w" + i); i++) {
            reply("w" + i, Reply.WAITING);
        }
        assertEquals(order.size(), 6);
        overdue = true;
        request.lookForFree();
        assertEquals(released.size(), 5);
    }

    @Test
    public void aRejectedRequestAsksAnotherOwnerAndThenGivesUp() {
        reply("w0", Reply.REJECTED);
        reply("w1", Reply.REJECTED);
        assertEquals(events, List.of("rejected w0", "rejected last w1"));
        assertEquals(released, List.of("w0", "w1"));
    }

    /** Guards against capacity that stays idle while requests wait for other workers. */
    @Test
    public void aWaitingRequestAsksForAWorkerThatHasBecomeFree() {
        overdue = true;
        reply("w0", Reply.WAITING);
        free = Optional.of("w7");
        request.lookForFree();
        assertEquals(order, List.of("w0", "w7"));
        assertEquals(released, List.of("w0"));
        reply("w7", Reply.GRANTED);
        assertTrue(events.contains("granted w7"));
    }

    private void reply(String worker, Reply reply) {
        asked.get(worker).accept(reply);
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    private ReservationService.Reservation reserve(Demand demand, Consumer<Reply> onReply) {
        asked.put(demand.worker(), onReply);
        order.add(demand.worker());
        return () -> released.add(demand.worker());
    }

    private Optional<CapacityRequest.Candidate> choose(Set<String> excluded) {
        return free.map(w -> new CapacityRequest.Candidate(worker(w), true)).or(() -> {
            for (int i = 0; i < WORKERS; i++) {
                if (!excluded.contains("w" + i)) {
                    return Optional.of(new CapacityRequest.Candidate(worker("w" + i), false));
                }
            }
            return Optional.empty();
        });
    }

    private static Demand demand(CapacityRequest.Candidate candidate) {
        return new Demand(candidate.worker().id(), 1, 1, 1, 0, 0, 600, 600, candidate.free());
    }

    private static ListedWorker worker(String id) {
        return new ListedWorker(new BackendServer(id, "s", WorkerRole.DECODE, "127.0.0.1", 1, "z", false), 6, 1);
    }

    private final class Results implements CapacityRequest.Listener {
        @Override
        public void onGranted(ListedWorker worker, ReservationService.Reservation reservation) {
            events.add("granted " + worker.id());
        }

        @Override
        public void onWaiting(ListedWorker worker) {
            events.add("waiting " + worker.id());
        }

        @Override
        public void onRejected(ListedWorker worker, boolean last) {
            events.add("rejected " + (last ? "last " : "") + worker.id());
        }
    }
}
