import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Uploads to a service whose workers read slowly for a time, beside bookings at a service whose workers are sound.
 *
 * <p>Judges either whether bookings are answered at the timeout of their route ("timeouts"), or whether requests reach a
 * worker after their callers have closed their connections ("late").
 */
final class SlowUploads {
    /** The largest body that the configuration permits has 4,194,304 bytes. */
    private static final int MAX_UPLOAD_BYTES = 4_190_000;

    /** More than the kernel holds of an upload whose worker does not read, about 2.9 MB with the usual limits of Linux. */
    private static final int MIN_UPLOAD_BYTES = 3_000_000;

    /** So much more that the request cannot be whole at the worker unless the router goes on writing it. */
    private static final int MIN_LATE_UPLOAD_BYTES = 4_100_000;
    private static final long UPLOAD_DEADLINE_MILLIS = 1500;
    private static final long BOOKING_TIMEOUT_MILLIS = 800;
    private static final long BOOKING_DEADLINE_MILLIS = 3000;
    private static final int SLOW_BYTES_PER_SECOND = 4000;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + "{\"name\":\"upload\",\"host\":\"h.example\",\"pathPrefix\":\"/upload/\",\"type\":\"non_idempotent\","
            + "\"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"files\",\"maxAttempts\":1},"
            + "{\"name\":\"book\",\"host\":\"h.example\",\"pathPrefix\":\"/book/\",\"type\":\"non_idempotent\","
            + "\"timeoutMs\":" + BOOKING_TIMEOUT_MILLIS
            + ",\"targetLatencyMs\":300,\"priority\":1,\"service\":\"booking\",\"maxAttempts\":1}],"
            + "\"services\":[{\"name\":\"files\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false},"
            + "{\"name\":\"booking\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private final Record record;
    private final Store store;
    private final List<Router> routers = new ArrayList<>();
    private final boolean trouble;
    private final Map<String, Double> closedAt = new ConcurrentHashMap<>();
    private final AtomicInteger lateRequests = new AtomicInteger();
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger overdueUnanswered = new AtomicInteger();
    private final Map<String, AtomicInteger> bookingRuns = new ConcurrentHashMap<>();
    private final Map<String, String> bookingOutcomes = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private int minUploadBytes;
    private volatile boolean slow;
    private volatile boolean ending;

    private SlowUploads(Record record, boolean trouble) throws IOException {
        this.record = record;
        this.trouble = trouble;
        store = new Store("127.0.0.1", record);
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("slow-uploads");
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            SlowUploads run = new SlowUploads(record, trouble);
            try {
                status = run.run(arguments[0], folder) ? 0 : 1;
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            } finally {
                for (Router router : run.routers) {
                    router.close();
                }
            }
        }
        System.exit(status);
    }

    private boolean run(String judged, Path folder) throws IOException, InterruptedException {
        boolean late = judged.equals("late");
        minUploadBytes = late ? MIN_LATE_UPLOAD_BYTES : MIN_UPLOAD_BYTES;
        store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 0; i < 2; i++) {
            startFileWorker("f-" + i);
        }
        for (int i = 0; i < 3; i++) {
            new Worker("b-" + i, "booking", "", "z", 6, store, record, this::book);
        }
        for (int i = 0; i < 2; i++) {
            Router router = new Router("n" + i, "127.0.0." + (2 + i), "z", store.address(), folder, record);
            routers.add(router);
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady(20_000);
        }
        int uploaders = late ? 4 : 24;
        for (int i = 0; i < 16; i++) {
            int client = i;
            Store.start(() -> repeat(() -> sendBooking(routers.get(client % 2)), 100));
        }
        Thread.sleep(3000);
        slow = trouble;
        record.add("file workers read %s", slow ? SLOW_BYTES_PER_SECOND + " bytes a second" : "at full speed");
        for (int i = 0; i < uploaders; i++) {
            int client = i;
            Store.start(() -> repeat(() -> upload(routers.get(client % 2)), 1000));
        }
        Thread.sleep(late ? 12_000 : 40_000);
        slow = false;
        ending = true;
        record.add("file workers read at full speed; no more uploads");
        Thread.sleep(late ? 8000 : 2000);
        return judge(late);
    }

    private boolean judge(boolean late) throws IOException {
        new TreeMap<>(outcomes).forEach((outcome, count) -> record.add("%5d x %s", count.get(), outcome));
        for (Router router : routers) {
            long errors = router.log().lines().filter(l -> l.contains("OutOfMemoryError")).count();
            record.add("router %s alive=%s log lines with OutOfMemoryError: %d", router.name, router.isAlive(), errors);
        }
        record.add(
                "bookings that ran twice: %d; that were answered 503 and ran: %d",
                bookingRuns.values().stream().filter(n -> n.get() > 1).count(),
                bookingOutcomes.entrySet().stream()
                        .filter(b -> b.getValue().equals("status 503") && bookingRuns.containsKey(b.getKey()))
                        .count());
        record.add(
                "bookings without an answer at %d ms: %d; of these, 500 ms later: %d",
                BOOKING_TIMEOUT_MILLIS,
                overdue.get(),
                overdueUnanswered.get());
        record.add(
                "requests that were whole at a worker over 0.5 s after their caller had closed: %d", lateRequests.get());
        boolean broken = late
                ? lateRequests.get() > 3
                : overdue.get() >= 8 && 4 * overdueUnanswered.get() > overdue.get();
        record.add(broken ? "the rule is broken" : "the rule holds");
        return !broken;
    }

    /** Repeats a task at an interval, and at once when it takes longer than that. */
    private void repeat(Runnable task, long intervalMillis) {
        try {
            while (!ending) {
                long start = System.nanoTime();
                task.run();
                Thread.sleep(Math.max(1, intervalMillis - (System.nanoTime() - start) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startFileWorker(String id) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Store.start(() -> {
            try {
                for (int beat = 1; ; beat++) {
                    store.put(
                            "keyed.servers",
                            id,
                            "{\"service\":\"files\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                                    + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                                    + "\"coldRemainingMs\":0,\"sequence\":" + beat + ",\"born\":1}");
                    Thread.sleep(1200);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Store.start(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Store.start(() -> serveUpload(id, socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** Reads a request, slowly while the worker is slow, and answers it. */
    private void serveUpload(String id, Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            Wire.Message request = Wire.readHead(in);
            if (request == null) {
                return;
            }
            String attempt = request.header("magnoliavane-attempt-id");
            int missing = Integer.parseInt(request.header("content-length"));
            byte[] part = new byte[64 * 1024];
            while (missing > 0) {
                boolean slowly = slow;
                int read = in.read(part, 0, Math.min(missing, slowly ? SLOW_BYTES_PER_SECOND / 20 : part.length));
                if (read < 0) {
                    record.add("worker %s: %s broke off, %d bytes missing", id, attempt, missing);
                    return;
                }
                missing -= read;
                if (slowly) {
                    Thread.sleep(50);
                }
            }
            Double closed = closedAt.get(attempt);
            double sinceClose = closed == null ? 0 : record.seconds() - closed;
            if (sinceClose > 0.5) {
                lateRequests.incrementAndGet();
            }
            record.add(
                    "worker %s: %s is whole and runs%s",
                    id,
                    attempt,
                    closed == null ? "" : String.format(", %.1f s after its caller closed", sinceClose));
            Wire.write(
                    socket.getOutputStream(), Wire.response(200, Worker.signed(request), Wire.bytes("stored")));
        } catch (IOException e) {
            record.add("worker %s: connection ended: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean book(Worker worker, Wire.Message request, Socket socket)
            throws IOException, InterruptedException {
        bookingRuns.computeIfAbsent(request.header("magnoliavane-attempt-id"), id -> new AtomicInteger())
                .incrementAndGet();
        Thread.sleep(60);
        Wire.write(socket.getOutputStream(), Wire.response(200, Worker.signed(request), Wire.bytes("booked")));
        return true;
    }

    private void upload(Router router) {
        String id = "up-" + nextId.incrementAndGet();
        Random random = new Random(id.hashCode());
        byte[] body = new byte[random.nextInt(minUploadBytes, MAX_UPLOAD_BYTES)];
        random.nextBytes(body);
        String outcome = send(router, "/upload/file", id, UPLOAD_DEADLINE_MILLIS, body);
        closedAt.put(id, record.seconds());
        record.add("%s at %s: %s", id, router.name, outcome);
        count("upload: " + outcome);
    }

    private void sendBooking(Router router) {
        String id = "book-" + nextId.incrementAndGet();
        long start = System.nanoTime();
        String outcome = send(router, "/book/slot", id, BOOKING_DEADLINE_MILLIS, Wire.bytes("{}"));
        long millis = (System.nanoTime() - start) / 1_000_000;
        if (millis > BOOKING_TIMEOUT_MILLIS) {
            overdue.incrementAndGet();
            overdueUnanswered.addAndGet(millis > BOOKING_TIMEOUT_MILLIS + 500 ? 1 : 0);
            record.add("%s at %s: %s after %d ms", id, router.name, outcome, millis);
        }
        bookingOutcomes.put(id, outcome);
        count("booking: " + outcome);
    }

    private void count(String outcome) {
        outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
    }

    /** Sends a request on a new connection, which is closed at the answer or at the time limit of the caller. */
    private static String send(Router router, String path, String id, long deadlineMillis, byte[] body) {
        try (Socket socket = Wire.connect(router.host, router.port)) {
            socket.setSoTimeout((int) deadlineMillis);
            Wire.write(
                    socket.getOutputStream(),
                    Wire.join(
                            Wire.bytes("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nMagnoliavane-Attempt-Id: "
                                    + id + "\r\nMagnoliavane-Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: "
                                    + body.length + "\r\n\r\n"),
                            body));
            Wire.Message response = Wire.readResponse(socket.getInputStream());
            return response == null ? "closed without an answer" : "status " + response.status();
        } catch (SocketTimeoutException e) {
            return "no answer";
        } catch (IOException e) {
            return "failed: " + e.getMessage();
        }
    }
}
