import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers send bodies of the permitted size, some at once each second; then a burst doubles their number. */
final class LargeBodies {
    private static final String HOST = "pack.example";
    private static final int BODY_BYTES = 4_194_304;
    private static final int CALLERS = Integer.parseInt(System.getenv().getOrDefault("CALLERS", "4"));
    private static final double BURST_FACTOR = 2.2;
    private static final int SECONDS = 36;
    private static final int BURST_SECONDS = 9;

    /** The seconds at which the two bursts begin. */
    private static final List<Integer> BURSTS = List.of(5, 20);

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final Map<String, Integer> OUTCOMES = new TreeMap<>();

    private static final String MANIFEST = "{\"version\":3,\"routes\":[{\"name\":\"r-book\",\"host\":\"" + HOST
            + "\",\"pathPrefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300"
            + ",\"priority\":2,\"service\":\"van-rota\",\"maxAttempts\":1}],\"services\":["
            + "{\"name\":\"van-rota\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + BODY_BYTES
            + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    public static void main(String[] args) {
        Rig.main(args[0], LargeBodies::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("keyed.op", "config", MANIFEST);
        for (int i = 0; i < 4; i++) {
            new Worker(rig, "i-van-" + i, "van-rota", "").list();
        }
        Rig.Router router = rig.startRouter("edge-0", "zone-a", rig.store.getAddress());
        router.awaitReady();
        Rig.sleep(Rig.CONTACT_MILLIS);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        ExecutorService callers = Executors.newCachedThreadPool();
        for (int second = 0; second < SECONDS; second++) {
            int current = second;
            boolean burst = rig.trouble && BURSTS.stream().anyMatch(b -> current >= b && current < b + BURST_SECONDS);
            int count = (int) Math.round(CALLERS * (burst ? BURST_FACTOR : 1));
            for (int i = 0; i < count; i++) {
                callers.execute(() -> send(rig, router, body));
            }
            Rig.sleep(1000);
            synchronized (OUTCOMES) {
                rig.note("second=" + second + (burst ? " burst " : " ") + OUTCOMES);
            }
        }
        callers.shutdown();
        callers.awaitTermination(10, TimeUnit.SECONDS);
        int denied = 0;
        for (Map.Entry<String, Integer> outcome : OUTCOMES.entrySet()) {
            String status = outcome.getKey();
            boolean counts = status.startsWith("4") && !status.equals("408") && !status.equals("421") && !status.equals("429");
            denied += counts ? outcome.getValue() : 0;
        }
        double limit = 5 + IDS.get() / 500.0;
        rig.note("requests=" + IDS + " " + OUTCOMES + " denied=" + denied + " limit=" + limit);
        return denied <= limit;
    }

    private static void send(Rig rig, Rig.Router router, byte[] body) {
        String id = "a" + IDS.incrementAndGet();
        long sent = rig.millis();
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(router.getCallerAddress(), 1000);
            socket.setSoTimeout(4000);
            Http.Message answer = Http.exchange(
                    socket,
                    "POST",
                    "/book/slot",
                    Map.of("Host", HOST, "Magnoliavane-Attempt-Id", id, "Magnoliavane-Deadline-Ms", "4000"),
                    body);
            outcome = answer == null ? "closed" : Integer.toString(answer.status);
            rig.note("sent=" + sent + " request=" + id + " millis=" + (rig.millis() - sent) + " " + outcome
                    + (outcome.equals("400") ? " " + answer.getText() : ""));
        } catch (SocketTimeoutException e) {
            outcome = "unanswered";
        } catch (IOException e) {
            outcome = e.getMessage();
        }
        synchronized (OUTCOMES) {
            OUTCOMES.merge(outcome, 1, Integer::sum);
        }
    }
}
