import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a worker. It lists itself in the store and passes requests to a handler. */
final class Worker implements AutoCloseable {
    /** Handles a request that expects this worker; the connection is closed when it returns false. */
    interface Handler {
        boolean handle(Worker worker, Wire.Message request, Socket socket) throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    final String zone;
    volatile String stage;
    final AtomicInteger orders = new AtomicInteger();
    private final int slots;
    private final Store store;
    private final Record record;
    private final Handler handler;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private final AtomicInteger beats = new AtomicInteger();
    private volatile String state = "ready";
    private volatile boolean listed = true;

    Worker(String id, String service, String stage, String zone, int slots, Store store, Record record, Handler handler)
            throws IOException {
        this(id, service, stage, zone, slots, "127.0.0.1", 0, store, record, handler);
    }

    Worker(
            String id,
            String service,
            String stage,
            String zone,
            int slots,
            String host,
            int port,
            Store store,
            Record record,
            Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.record = record;
        this.handler = handler;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName(host), port), 200);
        Store.start(this::accept);
        Store.start(this::beat);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    int port() {
        return server.getLocalPort();
    }

    void setState(String next) {
        state = next;
        write();
    }

    void setStage(String next) {
        stage = next;
        write();
    }

    void unlist() {
        listed = false;
        store.put("keyed.servers", id, "");
    }

    void write() {
        if (!listed) {
            return;
        }
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"coldRemainingMs\":0,"
                        + (stage.isEmpty()
                                ? ""
                                : "\"stage\":\"" + stage
                                        + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],")
                        + "\"sequence\":" + beats.incrementAndGet() + ",\"born\":" + born + "}");
    }

    private void beat() {
        try {
            while (!server.isClosed()) {
                write();
                Thread.sleep(1200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Store.start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            boolean more = true;
            while (more) {
                Wire.Message request = Wire.readRequest(socket.getInputStream());
                if (request == null) {
                    return;
                }
                if (!request.complete) {
                    record.add("worker %s: incomplete request %s", id, request.header("magnoliavane-attempt-id"));
                    return;
                }
                more = answer(request, socket);
            }
        } catch (IOException e) {
            // The connection has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean answer(Wire.Message request, Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        String expected = request.header("magnoliavane-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Wire.write(out, Wire.response(421, echo(request), new byte[0]));
            return true;
        }
        if (request.target().equals("/healthz")) {
            Wire.write(out, Wire.response(200, Map.of("Magnoliavane-Instance-Id", id), new byte[0]));
            return true;
        }
        if (request.target().equals("/v1/report")) {
            Wire.write(
                    out,
                    Wire.response(
                            200,
                            Map.of("Content-Type", "application/json"),
                            Wire.bytes("{\"stage\":\"" + stage
                                    + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                                    + "\"sequence\":" + orders.get()
                                    + ",\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":53213,\"kvHandles\":0}")));
            return true;
        }
        return handler.handle(this, request, socket);
    }

    /** The headers that name the request. */
    static Map<String, String> echo(Wire.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Magnoliavane-Attempt-Id", request.header("magnoliavane-attempt-id"));
        return headers;
    }

    /** The headers of a success. */
    static Map<String, String> signed(Wire.Message request) {
        Map<String, String> headers = echo(request);
        headers.put("Magnoliavane-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        return headers;
    }

    /** Ends as a process that crashes: the port and all connections are closed. */
    void crash() throws IOException {
        record.add("worker %s crashes", id);
        server.close();
        sockets.forEach(Wire::reset);
    }

    @Override
    public void close() throws IOException {
        listed = false;
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
