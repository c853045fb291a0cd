import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Bookings whose body is the text of another request, with and without a colon in the line that states its length. */
final class NestedRequests {
    private static final int BOOKINGS = 20;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + "{\"name\":\"book\",\"host\":\"h.example\",\"pathPrefix\":\"/book/\",\"type\":\"non_idempotent\","
            + "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"booking\",\"maxAttempts\":1}],"
            + "\"services\":[{\"name\":\"booking\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private final Record record;
    private final boolean trouble;
    private final Map<String, String> bodies = new ConcurrentHashMap<>();
    private final AtomicInteger asSent = new AtomicInteger();
    private final AtomicInteger foreignIds = new AtomicInteger();
    private final AtomicInteger changedBodies = new AtomicInteger();

    private NestedRequests(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                status = new NestedRequests(record, trouble).run() ? 0 : 1;
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            }
        }
        System.exit(status);
    }

    private boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("nested-requests");
        Store store = new Store("127.0.0.1", record);
        store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 0; i < 3; i++) {
            new Worker("b-" + i, "booking", "", "z", 6, store, record, this::book);
        }
        try (Router router = new Router("n0", "127.0.0.8", "z", store.address(), folder, record)) {
            router.start();
            router.awaitReady(20_000);
            for (int i = 1; i <= BOOKINGS; i++) {
                send(router, "book-" + i);
            }
            record.add(
                    "of %d bookings %d ran as sent, %d under an id that no caller sent, %d with another body",
                    BOOKINGS,
                    asSent.get(),
                    foreignIds.get(),
                    changedBodies.get());
            boolean broken = foreignIds.get() + changedBodies.get() > 0;
            record.add(broken ? "the rule is broken" : "the rule holds");
            if (!trouble && asSent.get() < BOOKINGS) {
                throw new IOException("not all bookings were run without the disruption");
            }
            return !broken;
        }
    }

    private boolean book(Worker worker, Wire.Message request, Socket socket)
            throws IOException, InterruptedException {
        String id = request.header("magnoliavane-attempt-id");
        String sent = bodies.get(id);
        boolean same = request.text().equals(sent);
        (sent == null ? foreignIds : same ? asSent : changedBodies).incrementAndGet();
        record.add(
                "worker %s runs \"%s\": %s, body of %d bytes%s",
                worker.id,
                id,
                request.firstLine,
                request.body.length,
                sent == null ? ", under an id that no caller sent" : same ? "" : ", which is not the one that was sent");
        Thread.sleep(60);
        Wire.write(socket.getOutputStream(), Wire.response(200, Worker.signed(request), Wire.bytes("booked")));
        return true;
    }

    private void send(Router router, String id) throws IOException {
        String body = "POST /book/slot HTTP/1.1\r\nHost: h.example\r\nMagnoliavane-Attempt-Id: inner-of-" + id
                + "\r\nMagnoliavane-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
        bodies.put(id, body);
        String outcome;
        try (Socket socket = Wire.connect(router.host, router.port)) {
            socket.setSoTimeout(3000);
            Wire.write(
                    socket.getOutputStream(),
                    Wire.bytes("POST /book/slot HTTP/1.1\r\nHost: h.example\r\nMagnoliavane-Attempt-Id: " + id
                            + "\r\nMagnoliavane-Deadline-Ms: 1500\r\nContent-Length" + (trouble ? " " : ": ")
                            + body.length() + "\r\n\r\n" + body));
            Wire.Message response = Wire.readResponse(socket.getInputStream());
            outcome = response == null ? "closed without an answer" : "status " + response.status();
        } catch (IOException e) {
            outcome = "failed: " + e.getMessage();
        }
        record.add("%s with a body of %d bytes: %s", id, body.length(), outcome);
    }
}
