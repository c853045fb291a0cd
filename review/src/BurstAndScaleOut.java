import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A burst fills the decode workers; an empty worker is added while requests wait. */
final class BurstAndScaleOut {
    private static final String HOST = "surf.example";
    private static final int SLOTS = 128;
    private static final int BRIEFS_PER_SECOND = 30;
    private static final int LOOKUPS_PER_SECOND = 60;
    private static final double BURST_FACTOR = 2.2;
    private static final long BURST_AT = 7000;
    private static final long BURST_MILLIS = 6000;
    private static final long WORKER_ADDED_AT = BURST_AT + 5000;
    private static final long END = 93_000;
    private static final long DEADLINE_MILLIS = 14_000;
    private static final AtomicInteger IDS = new AtomicInteger();

    /** Requests of one kind: those sent in all, and those answered with success and complete. */
    private static final class Kind {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final Map<String, Integer> outcomes = new HashMap<>();

        synchronized void count(String outcome) {
            outcomes.merge(outcome, 1, Integer::sum);
        }

        double getShare() {
            return (double) served.get() / Math.max(1, sent.get());
        }
    }

    private static final Kind BRIEFS = new Kind();
    private static final Kind LOOKUPS = new Kind();

    private static final String MANIFEST = "{\"version\":3,\"routes\":[{\"name\":\"r-brief\",\"host\":\"" + HOST
            + "\",\"pathPrefix\":\"/brief/\",\"type\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900"
            + ",\"priority\":1,\"service\":\"brief-llm\",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"targetGapMs\":300},"
            + "{\"name\":\"r-lookup\",\"host\":\"" + HOST
            + "\",\"pathPrefix\":\"/lookup/\",\"type\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":386"
            + ",\"priority\":2,\"service\":\"booking-app\",\"maxAttempts\":2}],\"services\":["
            + "{\"name\":\"brief-llm\",\"healthPath\":\"/healthz\",\"maxConnections\":620,\"protocol\":\"h1\",\"tls\":false"
            + ",\"engine\":{\"slots\":" + SLOTS + ",\"kvCapacity\":53213,\"kvBytes\":18432,\"linkMbps\":350000.0"
            + ",\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\"kvHoldS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0"
            + ",\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"booking-app\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    public static void main(String[] args) {
        Rig.main(args[0], BurstAndScaleOut::run);
    }

    private static Worker createEngine(Rig rig, String id, String stage) throws IOException {
        Worker worker = new Worker(rig, id, "brief-llm", stage);
        worker.slots = SLOTS;
        worker.queue = 2;
        worker.events = 71;
        worker.eventMillis = 100;
        return worker.list();
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("keyed.op", "config", MANIFEST);
        createEngine(rig, "i-prefill-0", "prefill");
        createEngine(rig, "i-decode-0", "decode");
        createEngine(rig, "i-decode-1", "decode");
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(rig, "i-booking-" + i, "booking-app", "");
            worker.workMillis = 40;
            worker.list();
        }
        int routers = Integer.parseInt(System.getenv().getOrDefault("ROUTERS", "1"));
        List<Rig.Router> all = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            all.add(rig.startRouter("edge-" + i, "zone-" + i, rig.store.getAddress()));
        }
        all.forEach(Rig.Router::awaitReady);
        Rig.sleep(Rig.CONTACT_MILLIS);

        ExecutorService callers = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, "caller", 256 << 10);
            thread.setDaemon(true);
            return thread;
        });
        long start = rig.millis();
        double briefsDue = 0;
        double lookupsDue = 0;
        boolean added = false;
        long previous = 0;
        long noted = 0;
        while (rig.millis() - start < END) {
            long now = rig.millis() - start;
            boolean burst = rig.trouble && now >= BURST_AT && now < BURST_AT + BURST_MILLIS;
            briefsDue += (now - previous) / 1000.0 * BRIEFS_PER_SECOND * (burst ? BURST_FACTOR : 1);
            lookupsDue += (now - previous) / 1000.0 * LOOKUPS_PER_SECOND;
            previous = now;
            for (; briefsDue >= 1; briefsDue--) {
                callers.execute(() -> request(rig, all, BRIEFS, "POST", "/brief/note", DEADLINE_MILLIS));
            }
            for (; lookupsDue >= 1; lookupsDue--) {
                callers.execute(() -> request(rig, all, LOOKUPS, "GET", "/lookup/day", 1500));
            }
            if (rig.trouble && !added && now >= WORKER_ADDED_AT) {
                added = true;
                createEngine(rig, "i-decode-2", "decode");
                rig.note("added worker=i-decode-2");
            }
            if (now - noted >= 1000) {
                noted = now;
                rig.note("sent briefs=" + BRIEFS.sent + " lookups=" + LOOKUPS.sent + " served briefs=" + BRIEFS.served
                        + " lookups=" + LOOKUPS.served + (burst ? " burst" : ""));
            }
            Rig.sleep(5);
        }
        callers.shutdown();
        callers.awaitTermination(DEADLINE_MILLIS + 2000, TimeUnit.MILLISECONDS);
        rig.note("briefs " + BRIEFS.outcomes + " ready=" + all.stream().allMatch(Rig.Router::isReady));
        rig.note("lookups " + LOOKUPS.outcomes);
        double share = (double) (BRIEFS.served.get() + LOOKUPS.served.get()) / (BRIEFS.sent.get() + LOOKUPS.sent.get());
        rig.note(String.format(
                "share served: briefs=%.3f lookups=%.3f all=%.3f", BRIEFS.getShare(), LOOKUPS.getShare(), share));
        return BRIEFS.getShare() >= share / 4 && LOOKUPS.getShare() >= share / 4;
    }

    /** Sends a request, and once more after a refusal, when its Retry-After has passed. */
    private static void request(Rig rig, List<Rig.Router> routers, Kind kind, String method, String path, long deadlineMillis) {
        kind.sent.incrementAndGet();
        long start = rig.millis();
        String outcome = "";
        for (int attempt = 0; attempt < 2; attempt++) {
            long left = deadlineMillis - (rig.millis() - start);
            String id = "a" + IDS.incrementAndGet();
            Map<String, String> headers = new HashMap<>(Map.of(
                    "Host", HOST, "Magnoliavane-Attempt-Id", id, "Magnoliavane-Deadline-Ms", Long.toString(left)));
            if (kind == BRIEFS) {
                headers.put("Magnoliavane-Model", "m");
                headers.put("Magnoliavane-Token-Count", "40,71");
                headers.put("Magnoliavane-Prompt-Prefix", "5c1e07a2:20," + Integer.toHexString(id.hashCode()) + ":20");
            }
            double retryAfterMillis;
            try (Socket socket = new Socket()) {
                socket.connect(
                        routers.get(ThreadLocalRandom.current().nextInt(routers.size())).getCallerAddress(), 1000);
                socket.setSoTimeout((int) left);
                byte[] body = kind == BRIEFS ? ("note for " + id).getBytes() : new byte[0];
                Http.Message answer = Http.exchange(socket, method, path, headers, body);
                if (answer == null) {
                    outcome = "closed";
                    break;
                }
                outcome = answer.status + (answer.complete ? "" : " incomplete");
                if (answer.status == 200 && answer.complete
                        && !answer.getHeader("magnoliavane-response-signature").isEmpty()) {
                    kind.served.incrementAndGet();
                    break;
                }
                if (answer.status != 503 && answer.status != 429) {
                    break;
                }
                String retryAfter = answer.getHeader("retry-after");
                retryAfterMillis = 1000 * Double.parseDouble(retryAfter.isEmpty() ? "1" : retryAfter);
            } catch (IOException e) {
                outcome = e.getClass().getSimpleName();
                break;
            }
            Rig.sleep((long) Math.min(retryAfterMillis, (deadlineMillis - (rig.millis() - start)) / 3.0));
        }
        kind.count(outcome);
        rig.note("sent=" + start + " path=" + path + " millis=" + (rig.millis() - start) + " " + outcome);
    }
}
