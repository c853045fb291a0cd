import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Resumable streams at a router that is stopped by SIGTERM while the decode workers are out of memory for a time: they preempt
 * their streams, which go on afterwards, and refuse new requests after a time in their queue.
 */
final class SilentStreams {
    private static final int STREAMS = 12;
    private static final int EVENTS = 60;
    private static final long EVENT_MILLIS = 60;
    private static final long SILENCE_MILLIS = 2300;
    private static final long QUEUE_MILLIS = 450;
    private static final long GRACE_MILLIS = 8000;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + "{\"name\":\"recap\",\"host\":\"h.example\",\"pathPrefix\":\"/recap/\",\"type\":\"streaming\","
            + "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,"
            + "\"sticky\":true,\"resumable\":true,\"targetGapMs\":300}],"
            + "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":620,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":128,\"kvCapacity\":53213,\"kvBytes\":18432,\"linkMbps\":350000.0,"
            + "\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\"kvHoldS\":0.5,\"switchS\":6.0,"
            + "\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private final Record record;
    private final boolean trouble;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger brokenOffByWorkers = new AtomicInteger();
    private volatile long silentFromNanos = Long.MAX_VALUE;
    private volatile long silentToNanos = Long.MAX_VALUE;

    private SilentStreams(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                status = new SilentStreams(record, trouble).run() ? 0 : 1;
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            }
        }
        System.exit(status);
    }

    private boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("silent-streams");
        Store store = new Store("127.0.0.1", record);
        store.put("keyed.op", "config", CONFIGURATION);
        new Worker("p-0", "llm", "prefill", "z", 128, store, record, this::prefill);
        for (int i = 0; i < 3; i++) {
            new Worker("d-" + i, "llm", "decode", "z", 128, store, record, this::decode);
        }
        try (Router router = new Router("n0", "127.0.0.7", "z", store.address(), folder, record)) {
            router.start();
            router.awaitReady(20_000);
            Thread.sleep(4000);
            CountDownLatch ended = new CountDownLatch(STREAMS);
            for (int i = 1; i <= STREAMS; i++) {
                String id = "recap-" + i;
                Store.start(() -> {
                    stream(router, id);
                    ended.countDown();
                });
                Thread.sleep(20);
            }
            Thread.sleep(700);
            router.signal("TERM");
            Thread.sleep(200);
            if (trouble) {
                silentToNanos = System.nanoTime() + SILENCE_MILLIS * 1_000_000;
                silentFromNanos = System.nanoTime();
                record.add("the decode workers preempt their streams for %d ms", SILENCE_MILLIS);
            }
            boolean allEnded = ended.await(GRACE_MILLIS + 2000, TimeUnit.MILLISECONDS);
            record.add("router ended: %s", router.awaitEnd(GRACE_MILLIS));
            record.add(
                    "of %d streams %d were whole, %d ended without a complete answer; workers broke off %d; all ended: %s",
                    STREAMS,
                    whole.get(),
                    lost.get(),
                    brokenOffByWorkers.get(),
                    allEnded);
            boolean broken = lost.get() > 0;
            record.add(broken ? "the rule is broken" : "the rule holds");
            return !broken;
        }
    }

    private boolean isSilent() {
        long now = System.nanoTime();
        return now >= silentFromNanos && now < silentToNanos;
    }

    private boolean prefill(Worker worker, Wire.Message request, Socket socket)
            throws IOException, InterruptedException {
        if (answerOrder(request, socket)) {
            return true;
        }
        Thread.sleep(30);
        String id = request.header("magnoliavane-attempt-id");
        Wire.write(
                socket.getOutputStream(),
                Wire.response(
                        200,
                        Worker.echo(request),
                        Wire.bytes("{\"kvHandle\":\"" + id + "\",\"tokens\":1000,\"version\":1}")));
        return true;
    }

    /** Role orders are refused as if another one were in progress. */
    private static boolean answerOrder(Wire.Message request, Socket socket) throws IOException {
        if (request.target().equals("/v1/order")) {
            Wire.write(socket.getOutputStream(), Wire.response(409, Map.of(), new byte[0]));
            return true;
        }
        return false;
    }

    private boolean decode(Worker worker, Wire.Message request, Socket socket)
            throws IOException, InterruptedException {
        if (answerOrder(request, socket)) {
            return true;
        }
        String id = request.header("magnoliavane-attempt-id");
        String last = request.header("last-event-id");
        OutputStream out = socket.getOutputStream();
        if (isSilent()) {
            record.add("worker %s: %s after event %s waits in the queue", worker.id, id, last);
            Thread.sleep(QUEUE_MILLIS);
            record.add("worker %s: %s is refused, not run", worker.id, id);
            Map<String, String> headers = Worker.echo(request);
            headers.put("Magnoliavane-Not-Executed", "1");
            Wire.write(out, Wire.response(503, headers, new byte[0]));
            return true;
        }
        record.add("worker %s: %s begins after event %s", worker.id, id, last.isEmpty() ? "0" : last);
        int event = last.isEmpty() ? 0 : Integer.parseInt(last);
        try {
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            Worker.signed(request).forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
            head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            Wire.write(out, Wire.bytes(head.toString()));
            while (event < EVENTS) {
                Thread.sleep(EVENT_MILLIS);
                while (isSilent()) {
                    Thread.sleep(5);
                }
                event++;
                String text = "id: " + event + "\ndata: " + id + " token " + event + "\n\n";
                Wire.write(out, Wire.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            }
            Wire.write(out, Wire.bytes("0\r\n\r\n"));
            record.add("worker %s: %s is complete", worker.id, id);
            return true;
        } catch (IOException e) {
            record.add("worker %s: the router has closed %s, event %d could not be written", worker.id, id, event);
            return false;
        }
    }

    private void stream(Router router, String id) {
        long start = System.nanoTime();
        int events = 0;
        String end = "closed";
        try (Socket socket = Wire.connect(router.host, router.port)) {
            // A caller leaves after a gap of four times the objective.
            socket.setSoTimeout(3600);
            Wire.write(
                    socket.getOutputStream(),
                    Wire.bytes("POST /recap/lesson HTTP/1.1\r\nHost: h.example\r\nMagnoliavane-Attempt-Id: " + id
                            + "\r\nMagnoliavane-Model: m\r\nMagnoliavane-Token-Count: 1000," + EVENTS
                            + "\r\nMagnoliavane-Prompt-Prefix: 5c1e07a2:200," + Integer.toHexString(id.hashCode())
                            + ":800\r\nMagnoliavane-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\n{}"));
            InputStream in = socket.getInputStream();
            Wire.Message head = Wire.readHead(in);
            if (head == null) {
                end = "closed without an answer";
            } else {
                end = "status " + head.status() + ", cut";
                List<String> lines = new ArrayList<>();
                for (int size = size(in); size > 0; size = size(in)) {
                    lines.addAll(Wire.lines(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1)));
                    Wire.readLine(in);
                    events = (int) lines.stream().filter(l -> l.startsWith("id: ")).count();
                }
                end = "status " + head.status() + ", whole";
            }
        } catch (IOException e) {
            end += " (" + e.getMessage() + ")";
        }
        boolean complete = end.endsWith("whole") && events == EVENTS;
        (complete ? whole : lost).incrementAndGet();
        record.add("%s: %s, %d events, after %d ms", id, end, events, (System.nanoTime() - start) / 1_000_000);
    }

    private static int size(InputStream in) throws IOException {
        String line = Wire.readLine(in);
        if (line == null) {
            throw new EOFException("the connection was closed within the stream");
        }
        return Integer.parseInt(line.trim(), 16);
    }
}
