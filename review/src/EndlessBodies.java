import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The workers of one service send bodies without end for some seconds; another service has sound workers. */
final class EndlessBodies {
    private static final String HOST = "surf.example";
    private static final int REQUESTS_PER_SECOND = 30;
    private static final long TIMEOUT_MILLIS = 2000;
    private static final long DEADLINE_MILLIS = 4000;
    private static final long ANSWER_SLACK_MILLIS = 500;
    private static final long TROUBLE_AT = 6000;
    private static final long TROUBLE_MILLIS = 5000;
    private static final long LENGTH_MILLIS = 40_000;

    /** Workers of three that get into trouble. */
    private static final int FAULTY = Integer.parseInt(System.getenv().getOrDefault("FAULTY", "3"));
    private static final AtomicInteger IDS = new AtomicInteger();

    /** Requests of one service. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        /** Requests without an answer at the timeout of their route. */
        final AtomicInteger overdue = new AtomicInteger();

        /** Those of them without an answer half a second later. */
        final AtomicInteger unanswered = new AtomicInteger();

        @Override
        public String toString() {
            return "sent=" + sent + " served=" + served + " unanswered at the timeout=" + overdue + " and half a second later="
                    + unanswered;
        }
    }

    private static final Counts BOOKINGS = new Counts();
    private static final Counts LOOKUPS = new Counts();

    private static String toRoute(String name, String type, String service) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"timeoutMs\":" + TIMEOUT_MILLIS + ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"" + service
                + "\",\"maxAttempts\":1}";
    }

    private static String toService(String name) {
        return "{\"name\":\"" + name
                + "\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}";
    }

    private static final String MANIFEST = "{\"version\":3,\"routes\":[" + toRoute("book", "non_idempotent", "booking-app") + ","
            + toRoute("lookup", "idempotent", "schedule-app") + "],\"services\":[" + toService("booking-app") + ","
            + toService("schedule-app") + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304"
            + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    private static volatile boolean endless;

    public static void main(String[] args) {
        Rig.main(args[0], EndlessBodies::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("keyed.op", "config", MANIFEST);
        for (int i = 0; i < 3; i++) {
            new FaultyWorker(rig, "i-booking-" + i, i < FAULTY).start();
            new Worker(rig, "i-schedule-" + i, "schedule-app", "").list();
        }
        Rig.Router router = rig.startRouter("edge-0", "zone-a", rig.store.getAddress());
        router.awaitReady();
        Rig.sleep(Rig.CONTACT_MILLIS);

        ExecutorService callers = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, "caller", 256 << 10);
            thread.setDaemon(true);
            return thread;
        });
        long start = rig.millis();
        long previous = 0;
        long noted = 0;
        double due = 0;
        while (rig.millis() - start < LENGTH_MILLIS) {
            long now = rig.millis() - start;
            endless = rig.trouble && now >= TROUBLE_AT && now < TROUBLE_AT + TROUBLE_MILLIS;
            due += (now - previous) / 1000.0 * REQUESTS_PER_SECOND;
            previous = now;
            for (; due >= 1; due--) {
                callers.execute(() -> request(rig, router, BOOKINGS, "POST", "/book/slot"));
                callers.execute(() -> request(rig, router, LOOKUPS, "GET", "/lookup/day"));
            }
            if (now - noted >= 1000) {
                noted = now;
                rig.note("bookings: " + BOOKINGS + "; lookups: " + LOOKUPS + (endless ? "; bodies without end" : ""));
            }
            Rig.sleep(5);
        }
        callers.shutdown();
        callers.awaitTermination(DEADLINE_MILLIS + 2000, TimeUnit.MILLISECONDS);
        rig.note("bookings: " + BOOKINGS);
        rig.note("lookups at the sound service: " + LOOKUPS);
        rig.note("router running=" + router.isAlive() + " ready=" + router.isReady());
        int overdue = BOOKINGS.overdue.get() + LOOKUPS.overdue.get();
        int unanswered = BOOKINGS.unanswered.get() + LOOKUPS.unanswered.get();
        rig.note("all: unanswered at the timeout=" + overdue + " and half a second later=" + unanswered);
        return unanswered < 8 || unanswered * 2 <= overdue;
    }

    private static void request(Rig rig, Rig.Router router, Counts counts, String method, String path) {
        counts.sent.incrementAndGet();
        String id = "a" + IDS.incrementAndGet();
        long sent = rig.millis();
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(router.getCallerAddress(), 1000);
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            byte[] body = method.equals("POST") ? ("slot " + id).getBytes(StandardCharsets.UTF_8) : new byte[0];
            Http.Message answer = Http.exchange(
                    socket,
                    method,
                    path,
                    Map.of("Host", HOST, "Magnoliavane-Attempt-Id", id, "Magnoliavane-Deadline-Ms",
                            Long.toString(DEADLINE_MILLIS)),
                    body);
            outcome = answer == null ? "closed" : "status=" + answer.status + (answer.complete ? "" : " incomplete");
        } catch (SocketTimeoutException e) {
            outcome = "unanswered";
        } catch (IOException e) {
            outcome = e.getMessage();
        }
        long millis = rig.millis() - sent;
        counts.served.addAndGet(outcome.equals("status=200") ? 1 : 0);
        if (millis > TIMEOUT_MILLIS) {
            counts.overdue.incrementAndGet();
            counts.unanswered.addAndGet(millis > TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS ? 1 : 0);
        }
        rig.note("sent=" + sent + " request=" + id + " path=" + path + " millis=" + millis + " " + outcome);
    }

    /** A worker that, while it is in trouble, sends a body without end to each request, until its caller closes. */
    private static final class FaultyWorker {
        private final Rig rig;
        private final String id;
        private final boolean faulty;
        private final ServerSocket server;
        private final long born = System.currentTimeMillis();

        FaultyWorker(Rig rig, String id, boolean faulty) throws IOException {
            this.rig = rig;
            this.id = id;
            this.faulty = faulty;
            server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        }

        void start() {
            run(this::renew);
            run(this::accept);
        }

        private void run(Runnable task) {
            Thread thread = new Thread(task, "faulty-worker");
            thread.setDaemon(true);
            thread.start();
        }

        private void renew() {
            for (int sequence = 1; ; sequence++) {
                rig.store.put(
                        "keyed.servers",
                        id,
                        "{\"service\":\"booking-app\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0"
                                + ",\"born\":" + born + ",\"sequence\":" + sequence + "}");
                Rig.sleep(Rig.HEARTBEAT_MILLIS);
            }
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    run(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Http.Message request = Http.read(new BufferedInputStream(socket.getInputStream()), false);
                if (request == null) {
                    return;
                }
                boolean inTrouble = faulty && endless;
                String attempt = request.getHeader("magnoliavane-attempt-id");
                rig.note("run request=" + attempt + " worker=" + id + (inTrouble ? " body without end" : ""));
                Map<String, String> headers = Map.of(
                        "Magnoliavane-Attempt-Id", attempt, "Magnoliavane-Response-Signature", id + "." + attempt,
                        "Connection", "close");
                OutputStream out = socket.getOutputStream();
                if (!inTrouble) {
                    Rig.sleep(60);
                    Http.respond(out, 200, headers, ("done " + attempt).getBytes(StandardCharsets.UTF_8));
                    return;
                }
                Http.writeHead(out, "HTTP/1.1 200 OK", headers);
                byte[] bytes = new byte[64 << 10];
                Arrays.fill(bytes, (byte) 'x');
                while (true) {
                    out.write(bytes);
                }
            } catch (IOException e) {
                // The caller has closed the connection.
            }
        }
    }
}
