import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs one case: a store, workers and routers on loopback, then the steps of the case, and the exit status. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Length of the route's timeout and of the time for which callers wait, in milliseconds: that of the site's bookings. */
    static final int TIMEOUT_MILLIS = 1500;

    static final String HOST = "svc.example";
    private static final int MAX_MILLIS = 110_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Router> routers = new ArrayList<>();
    Store store;
    private final String network = "127." + (1 + new Random().nextInt(250)) + "." + new Random().nextInt(250) + ".";
    private final AtomicInteger ids = new AtomicInteger(new Random().nextInt(1 << 20));
    private final Path folder;
    private PrintStream record;

    Case() throws IOException {
        folder = Files.createTempDirectory("review");
    }

    abstract void prepare() throws IOException;

    /** Returns whether the rule was broken. */
    abstract boolean run() throws Exception;

    /** Gets a loopback address that only this run uses. */
    String address(int last) {
        return network + last;
    }

    static void main(Case test, String[] args) throws IOException {
        Path folder = test.folder;
        int status = NOT_RUN;
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(MAX_MILLIS);
                Runtime.getRuntime().exit(NOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        limit.setDaemon(true);
        limit.start();
        try (PrintStream out = new PrintStream(args[0], "UTF-8")) {
            test.record = out;
            test.store = new Store(test.address(2));
            test.store.put("keyed.op", "config", configuration());
            test.prepare();
            for (Router router : test.routers) {
                router.awaitReady();
            }
            boolean broken = test.run();
            test.log(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            status = broken ? BROKEN : HELD;
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            test.routers.forEach(Router::end);
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
        System.exit(status);
    }

    void startRouters(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            startRouter(true);
        }
    }

    /** Starts a router with a name and an address that no other one has had. */
    Router startRouter(boolean firstStart) throws IOException {
        int number = routers.size() + 1;
        Router router = Router.start(store, folder, "edge-" + number, address(10 + number), firstStart);
        routers.add(router);
        return router;
    }

    synchronized void log(String line) {
        record.println(line);
        record.flush();
    }

    String newId() {
        return String.format("%016x", 0xa000_0000_0000L + ids.incrementAndGet());
    }

    /** Formats the head of a request up to the headers that frame its body. */
    static String requestHead(String method, String path, String id) {
        return requestHead(method, path, id, TIMEOUT_MILLIS);
    }

    static String requestHead(String method, String path, String id, int limitMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nMagnoliavane-Attempt-Id: " + id
                + "\r\nMagnoliavane-Deadline-Ms: " + limitMillis + "\r\n";
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[" + route("book", "non_idempotent") + "," + route("look", "idempotent")
                + "," + streamRoute("stream", false) + "," + streamRoute("resumable", true)
                + "],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":620,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":128,\"kvCapacity\":53213,\"kvBytes\":18432,\"linkMbps\":350000.0,"
                + "\"kvHoldS\":0.5,\"switchS\":6.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private static String route(String name, String type) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"timeoutMs\":" + TIMEOUT_MILLIS + ",\"targetLatencyMs\":386,\"priority\":2,\"service\":\"app\","
                + "\"maxAttempts\":2}";
    }

    private static String streamRoute(String name, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name
                + "/\",\"type\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900,\"targetGapMs\":300,"
                + "\"priority\":1,\"service\":\"llm\",\"sticky\":true,\"maxAttempts\":" + (resumable ? 2 : 1)
                + ",\"resumable\":" + resumable + "}";
    }
}
