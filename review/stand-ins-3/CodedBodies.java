import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.GZIPOutputStream;

/** Bookings whose bodies are sent in chunks, with and without a further transfer coding that HTTP/1.1 defines. */
final class CodedBodies {
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
    private final Map<String, byte[]> contents = new ConcurrentHashMap<>();
    private final Map<String, byte[]> codedContents = new ConcurrentHashMap<>();
    private final AtomicInteger changed = new AtomicInteger();
    private final AtomicInteger unchanged = new AtomicInteger();

    private CodedBodies(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                status = new CodedBodies(record, trouble).run() ? 0 : 1;
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            }
        }
        System.exit(status);
    }

    private boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("coded-bodies");
        Store store = new Store("127.0.0.1", record);
        store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 0; i < 3; i++) {
            new Worker("b-" + i, "booking", "", "z", 6, store, record, this::book);
        }
        try (Router router = new Router("n0", "127.0.0.6", "z", store.address(), folder, record)) {
            router.start();
            router.awaitReady(20_000);
            int served = 0;
            for (int i = 1; i <= BOOKINGS; i++) {
                served += send(router, "book-" + i).startsWith("status 200") ? 1 : 0;
            }
            record.add(
                    "of %d bookings %d were answered 200; %d ran with another body than was sent, %d with the same",
                    BOOKINGS,
                    served,
                    changed.get(),
                    unchanged.get());
            boolean broken = changed.get() > 0;
            record.add(broken ? "the rule is broken" : "the rule holds");
            if (!trouble && unchanged.get() < BOOKINGS) {
                throw new IOException("not all bookings were run without the disruption");
            }
            return !broken;
        }
    }

    /** Runs a booking; its body is the one that was sent if it is the content as such or in the coding of the caller. */
    private boolean book(Worker worker, Wire.Message request, Socket socket)
            throws IOException, InterruptedException {
        String id = request.header("magnoliavane-attempt-id");
        boolean coded = request.header("transfer-encoding").contains("gzip");
        byte[] sent = (coded ? codedContents : contents).getOrDefault(id, new byte[0]);
        boolean same = Arrays.equals(sent, request.body);
        (same ? unchanged : changed).incrementAndGet();
        record.add(
                "worker %s runs %s: %s, body of %d bytes \"%s\"%s",
                worker.id,
                id,
                request.firstLine,
                request.body.length,
                request.text(),
                same ? "" : ", which is not the one that was sent");
        Thread.sleep(60);
        Wire.write(socket.getOutputStream(), Wire.response(200, Worker.signed(request), Wire.bytes("booked")));
        return true;
    }

    private String send(Router router, String id) throws IOException {
        byte[] content = ("{\"slot\":\"" + id + "\",\"guest\":\"7\"}").getBytes(StandardCharsets.UTF_8);
        byte[] coded = trouble ? compress(content) : content;
        contents.put(id, content);
        codedContents.put(id, coded);
        String outcome;
        try (Socket socket = Wire.connect(router.host, router.port)) {
            socket.setSoTimeout(3000);
            Wire.write(
                    socket.getOutputStream(),
                    Wire.join(
                            Wire.bytes("POST /book/slot HTTP/1.1\r\nHost: h.example\r\nMagnoliavane-Attempt-Id: " + id
                                    + "\r\nMagnoliavane-Deadline-Ms: 1500\r\nContent-Type: application/json\r\n"
                                    + "Transfer-Encoding: " + (trouble ? "gzip, chunked" : "chunked") + "\r\n\r\n"
                                    + Integer.toHexString(coded.length) + "\r\n"),
                            coded,
                            Wire.bytes("\r\n0\r\n\r\n")));
            Wire.Message response = Wire.readResponse(socket.getInputStream());
            outcome = response == null ? "closed without an answer" : "status " + response.status();
        } catch (IOException e) {
            outcome = "failed: " + e.getMessage();
        }
        record.add("%s: content of %d bytes, %d bytes in its chunk: %s", id, content.length, coded.length, outcome);
        return outcome;
    }

    private static byte[] compress(byte[] content) throws IOException {
        ByteArrayOutputStream coded = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(coded)) {
            gzip.write(content);
        }
        return coded.toByteArray();
    }
}
