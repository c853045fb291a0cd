import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in of a worker of a service that runs plain requests. It renews its entry in the store as the pages say. */
final class Worker {
    private static final long HEARTBEAT_MILLIS = 1200;

    /** Answers a request that the worker runs. */
    interface Behaviour {
        void answer(Worker worker, Http.Message request, Socket socket) throws IOException;
    }

    final String id;
    final List<Http.Message> ran = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Behaviour behaviour;

    Worker(Store store, String host, String id, String service, Behaviour behaviour) throws IOException {
        this(store, host, id, service, 6, "", behaviour);
    }

    /** Creates a worker; the stage is empty for a service without a model. */
    Worker(Store store, String host, String id, String service, int slots, String stage, Behaviour behaviour)
            throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        server = Http.serve(host, this::serve);
        String entry = "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + server.getLocalPort()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,"
                + (stage.isEmpty() ? "" : "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],")
                + "\"sequence\":0,\"born\":" + System.currentTimeMillis() + "}";
        store.put("keyed.servers", id, entry);
        Thread beats = new Thread(() -> {
            while (true) {
                try {
                    Thread.sleep(HEARTBEAT_MILLIS);
                } catch (InterruptedException e) {
                    return;
                }
                store.put("keyed.servers", id, entry);
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    private void serve(Socket socket) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            if (request.body() == null) {
                return;
            }
            String expected = request.header("magnoliavane-expect-instance");
            if (expected.isEmpty()) {
                // The state of the worker, which no case needs.
                write(socket, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!expected.equals(id)) {
                write(socket, head(421, request) + "Magnoliavane-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ran.add(new Http.Message(request.firstLine(), request.headers(), new byte[0]));
            behaviour.answer(this, request, socket);
        }
    }

    /** Formats the first headers of an answer, which names its request. */
    static String head(int status, Http.Message request) {
        return "HTTP/1.1 " + status + " x\r\nMagnoliavane-Attempt-Id: " + request.header("magnoliavane-attempt-id")
                + "\r\n";
    }

    /** Formats the first headers of the answer to a request that ran, with the receipt. */
    static String ranHead(int status, Http.Message request) {
        return head(status, request) + "Magnoliavane-Response-Signature: "
                + Integer.toHexString(request.header("magnoliavane-attempt-id").hashCode()) + "\r\n";
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(Http.bytes(text));
    }
}
