import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer writes entries of workers from which a field is missing, beside the entries of the workers. */
final class ForeignEntries {
    private static final String HOST = "surf.example";
    private static final int ROUTERS = 7;
    private static final int ENGINES = 18;
    private static final long TIMEOUT_MILLIS = 2000;
    private static final long DEADLINE_MILLIS = 4000;
    private static final long ANSWER_SLACK_MILLIS = 500;
    private static final long FOREIGN_INTERVAL_MILLIS = Rig.HEARTBEAT_MILLIS;
    private static final long LENGTH_MILLIS = 90_000;
    private static final int BOOKINGS_PER_SECOND = 30;
    private static final AtomicInteger IDS = new AtomicInteger();

    /** Requests that have no answer at the timeout of their route. */
    private static final AtomicInteger OVERDUE = new AtomicInteger();

    /** Those of them that have no answer half a second later either. */
    private static final AtomicInteger UNANSWERED = new AtomicInteger();

    private static final AtomicInteger ANSWERED = new AtomicInteger();

    private static final String MANIFEST = "{\"version\":3,\"routes\":[{\"name\":\"r-brief\",\"host\":\"" + HOST
            + "\",\"pathPrefix\":\"/brief/\",\"type\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900"
            + ",\"priority\":1,\"service\":\"brief-llm\",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"targetGapMs\":300},"
            + "{\"name\":\"r-book\",\"host\":\"" + HOST
            + "\",\"pathPrefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeoutMs\":" + TIMEOUT_MILLIS
            + ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"booking-app\",\"maxAttempts\":1}],\"services\":["
            + "{\"name\":\"brief-llm\",\"healthPath\":\"/healthz\",\"maxConnections\":620,\"protocol\":\"h1\",\"tls\":false"
            + ",\"engine\":{\"slots\":128,\"kvCapacity\":53213,\"kvBytes\":18432,\"linkMbps\":350000.0"
            + ",\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\"kvHoldS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0"
            + ",\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"booking-app\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    public static void main(String[] args) {
        Rig.main(args[0], ForeignEntries::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("keyed.op", "config", MANIFEST);
        List<Worker> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Worker(rig, "i-brief-" + i, "brief-llm", i < ENGINES / 3 ? "prefill" : "decode").list());
            Rig.sleep(5);
        }
        for (int i = 0; i < 3; i++) {
            new Worker(rig, "i-booking-" + i, "booking-app", "").list();
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(rig.startRouter("edge-" + i, "zone-" + i % 3, rig.store.getAddress()));
        }
        routers.forEach(Rig.Router::awaitReady);
        Rig.sleep(Rig.CONTACT_MILLIS);

        ExecutorService callers = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, "caller", 256 << 10);
            thread.setDaemon(true);
            return thread;
        });
        long start = rig.millis();
        int foreign = 0;
        long foreignDue = 2000;
        double due = 0;
        long previous = 0;
        int next = 0;
        while (rig.millis() - start < LENGTH_MILLIS) {
            long now = rig.millis() - start;
            due += (now - previous) / 1000.0 * BOOKINGS_PER_SECOND;
            previous = now;
            for (; due >= 1; due--) {
                Rig.Router router = routers.get(next++ % ROUTERS);
                callers.execute(() -> book(rig, router));
            }
            if (rig.trouble && now >= foreignDue) {
                foreignDue += FOREIGN_INTERVAL_MILLIS;
                for (Worker engine : engines) {
                    foreign++;
                    // The field "stage" is missing.
                    rig.store.put(
                            "keyed.servers",
                            engine.id,
                            "{\"service\":\"brief-llm\",\"address\":\"" + engine.getAddress() + "\",\"zone\":\"zone-a\""
                                    + ",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":"
                                    + engine.born + ",\"sequence\":1}");
                }
            }
            Rig.sleep(5);
        }
        callers.shutdown();
        callers.awaitTermination(DEADLINE_MILLIS + 2000, TimeUnit.MILLISECONDS);
        int ready = 0;
        for (Rig.Router router : routers) {
            boolean isReady = router.isReady();
            ready += isReady ? 1 : 0;
            rig.note("router=" + router.name + " running=" + router.isAlive() + " ready=" + isReady);
        }
        rig.note("foreign entries=" + foreign + " requests=" + IDS + " answered=" + ANSWERED + " unanswered at the timeout="
                + OVERDUE + " and half a second later=" + UNANSWERED + " routers ready=" + ready + " of " + ROUTERS);
        return UNANSWERED.get() < 8 || UNANSWERED.get() * 2 <= OVERDUE.get();
    }

    private static void book(Rig rig, Rig.Router router) {
        String id = "a" + IDS.incrementAndGet();
        long sent = rig.millis();
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(router.getCallerAddress(), 1000);
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            Http.Message answer = Http.exchange(
                    socket,
                    "POST",
                    "/book/slot",
                    Map.of("Host", HOST, "Magnoliavane-Attempt-Id", id, "Magnoliavane-Deadline-Ms",
                            Long.toString(DEADLINE_MILLIS)),
                    ("slot " + id).getBytes());
            outcome = answer == null ? "closed" : "status=" + answer.status;
        } catch (SocketTimeoutException e) {
            outcome = "unanswered";
        } catch (IOException e) {
            outcome = e.getMessage();
        }
        long millis = rig.millis() - sent;
        ANSWERED.addAndGet(outcome.startsWith("status=") ? 1 : 0);
        if (millis > TIMEOUT_MILLIS) {
            OVERDUE.incrementAndGet();
            boolean late = millis > TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS;
            UNANSWERED.addAndGet(late ? 1 : 0);
        }
        rig.note("sent=" + sent + " request=" + id + " router=" + router.name + " millis=" + millis + " " + outcome);
    }
}
