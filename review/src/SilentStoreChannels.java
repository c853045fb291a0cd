import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent; then a route moves to another service. */
final class SilentStoreChannels {
    private static final String HOST = "book.example";
    private static final AtomicInteger IDS = new AtomicInteger();

    private static String toManifest(int version, String service) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-book\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300"
                + ",\"priority\":2,\"service\":\"" + service + "\",\"maxAttempts\":1}],\"services\":["
                + "{\"name\":\"booking-a\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false},"
                + "{\"name\":\"booking-b\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    public static void main(String[] args) {
        Rig.main(args[0], SilentStoreChannels::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Proxy proxy = new Proxy(rig.store.getAddress());
        rig.store.put("keyed.op", "config", toManifest(3, "booking-a"));
        List<Worker> workers = new ArrayList<>();
        for (String service : List.of("booking-a", "booking-b")) {
            for (int i = 0; i < 2; i++) {
                workers.add(new Worker(rig, "i-" + service + i, service, "").list());
            }
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            routers.add(rig.startRouter("edge-" + i, "zone-" + i, proxy.getAddress()));
        }
        routers.forEach(Rig.Router::awaitReady);
        // Machines count as in touch when their processes have run for contactMs.
        Rig.sleep(Rig.CONTACT_MILLIS);
        rig.store.put("keyed.op", "config", toManifest(5, "booking-a"));
        rig.note("confirmed version=5");
        // Routers hold a read of the configuration open for four seconds after each change and begin the next one then.
        Rig.sleep(4300);
        long silenced = rig.millis();
        if (rig.trouble) {
            rig.note("silenced connections=" + proxy.silence());
        }
        rig.store.put("keyed.op", "config", toManifest(8, "booking-b"));
        long confirmed = rig.millis();
        rig.note("confirmed version=8");
        int stale = 0;
        int judged = 0;
        while (rig.millis() < confirmed + 8000) {
            for (Rig.Router router : routers) {
                long sent = rig.millis();
                String id = "a" + IDS.incrementAndGet();
                String service = send(rig, router, id, workers);
                boolean bound = sent > confirmed + Rig.CONFIG_APPLY_MILLIS && sent > silenced + Rig.CONTACT_MILLIS;
                judged += bound ? 1 : 0;
                boolean old = bound && service.equals("booking-a");
                stale += old ? 1 : 0;
                rig.note("sent=" + sent + " request=" + id + " router=" + router.name + " ran_at=" + service
                        + " judged=" + bound + (old ? " STALE" : ""));
            }
            Rig.sleep(200);
        }
        rig.note("judged=" + judged + " stale=" + stale);
        return stale == 0;
    }

    private static String send(Rig rig, Rig.Router router, String id, List<Worker> workers) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(router.getCallerAddress(), 1000);
            socket.setSoTimeout(3000);
            Http.exchange(
                    socket,
                    "POST",
                    "/book/slot",
                    Map.of("Host", HOST, "Magnoliavane-Attempt-Id", id, "Magnoliavane-Deadline-Ms", "4000"),
                    "slot".getBytes());
        }
        for (Worker worker : workers) {
            for (Worker.Run run : worker.runs) {
                if (run.request().equals(id)) {
                    return run.service();
                }
            }
        }
        return "none";
    }
}
