import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A worker that lists itself in the store, renews its entry and runs requests. */
final class Worker {
    private static final AtomicLong HANDLES = new AtomicLong(System.nanoTime());

    /** A request that a worker ran. */
    record Run(String request, String worker, String service, long millis) {}

    final Rig rig;
    final String id;
    final String service;
    final String stage;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final AtomicInteger active = new AtomicInteger();
    volatile int slots = 6;
    volatile int queue = 24;
    volatile long workMillis = 60;
    volatile int events = 20;
    volatile long eventMillis = 20;
    private final ServerSocket server;
    final long born = System.currentTimeMillis();
    private final Set<String> handles = ConcurrentHashMap.newKeySet();
    private volatile boolean renewing = true;
    private volatile boolean draining;
    volatile long drainConfirmedMillis = Long.MAX_VALUE / 2;
    private int sequence;

    Worker(Rig rig, String id, String service, String stage) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.stage = stage;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        rig.workers.add(this);
        start(this::accept);
    }

    Worker list() {
        start(() -> {
            while (renewing) {
                rig.store.put("keyed.servers", id, toEntry(draining ? "draining" : "ready"));
                Rig.sleep(Rig.HEARTBEAT_MILLIS);
            }
        });
        return this;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "worker");
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized String toEntry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + getAddress() + "\",\"zone\":\"zone-a\",\"version\":\"v1\""
                + ",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"born\":" + born
                + (stage.isEmpty() ? "" : ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]")
                + ",\"sequence\":" + ++sequence + "}";
    }

    String getAddress() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                if (!request.complete) {
                    return;
                }
                handle(request, out);
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        }
    }

    private void handle(Http.Message request, OutputStream out) throws IOException {
        String target = request.first.split(" ")[1];
        String attempt = request.getHeader("magnoliavane-attempt-id");
        Map<String, String> headers = new HashMap<>();
        headers.put("Magnoliavane-Instance-Id", id);
        if (!attempt.isEmpty()) {
            headers.put("Magnoliavane-Attempt-Id", attempt);
        }
        String expected = request.getHeader("magnoliavane-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.respond(out, 421, headers, new byte[0]);
            return;
        }
        if (target.equals("/healthz")) {
            Http.respond(out, 200, headers, new byte[0]);
            return;
        }
        if (target.equals("/v1/report")) {
            headers.put("Content-Type", "application/json");
            String report = "{\"stage\":\"" + stage + "\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":"
                    + active.get() + ",\"kvUsed\":0,\"kvTotal\":58676,\"kvHandles\":" + handles.size() + "}";
            Http.respond(out, 200, headers, report.getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (target.equals("/v1/order")) {
            Http.respond(out, 409, headers, new byte[0]);
            return;
        }
        if (attempt.isEmpty()) {
            headers.put("Magnoliavane-Not-Executed", "1");
            Http.respond(out, 400, headers, new byte[0]);
            return;
        }
        boolean prefill = request.getHeader("magnoliavane-serving-stage").equals("prefill");
        if (prefill != stage.equals("prefill")) {
            Http.respond(out, 421, headers, new byte[0]);
            return;
        }
        if (prefill) {
            int tokens = Integer.parseInt(request.getHeader("magnoliavane-token-count").split(",")[0]);
            Rig.sleep(tokens / 55);
            String handle = Long.toHexString(HANDLES.incrementAndGet());
            handles.add(handle);
            headers.put("Content-Type", "application/json");
            String body = "{\"kvHandle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}";
            Http.respond(out, 200, headers, body.getBytes(StandardCharsets.UTF_8));
            return;
        }
        try {
            if (active.incrementAndGet() > slots + queue) {
                headers.put("Magnoliavane-Not-Executed", "1");
                Http.respond(out, 503, headers, new byte[0]);
                return;
            }
            runs.add(new Run(attempt, id, service, rig.millis()));
            headers.put("Magnoliavane-Response-Signature", id + "." + attempt);
            if (stage.isEmpty()) {
                Rig.sleep(workMillis);
                Http.respond(out, 200, headers, createBody(attempt));
            } else {
                stream(headers, out);
            }
        } finally {
            active.decrementAndGet();
        }
    }

    byte[] createBody(String attempt) {
        return ("done " + attempt + " by " + id + ".".repeat(700)).getBytes(StandardCharsets.UTF_8);
    }

    private void stream(Map<String, String> headers, OutputStream out) throws IOException {
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        Rig.sleep(22);
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        Http.writeHead(head, "HTTP/1.1 200 OK", headers);
        out.write(head.toByteArray());
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: token" + i + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Rig.sleep(eventMillis);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Announces the end of the worker, which goes on serving and then ends. */
    void drain(long servesMillis) {
        draining = true;
        rig.store.put("keyed.servers", id, toEntry("draining"));
        drainConfirmedMillis = rig.millis();
        start(() -> {
            Rig.sleep(servesMillis);
            try {
                end();
            } catch (IOException e) {
                rig.note("worker=" + id + " " + e);
            }
        });
    }

    /** Stops the listing and the server, as when a worker is taken away. */
    void end() throws IOException {
        renewing = false;
        rig.store.remove("keyed.servers", id);
        server.close();
    }
}
