import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a model worker, as a process of its own: {@code StreamWorker HOST ID STAGE}. It prints its port and goes on until
 * it is killed. A decode worker writes a stream without a length, whose end is that of its connection.
 */
public final class StreamWorker {
    /** Number of events of each stream: the output tokens of the site's briefings. */
    static final int EVENTS = 71;

    private static final int EVENT_MILLIS = 10;
    private static final int PREFILL_MILLIS = 90;
    private static final AtomicInteger HANDLES = new AtomicInteger();

    private StreamWorker() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        String id = args[1];
        boolean decodes = args[2].equals("decode");
        ServerSocket server = Http.serve(args[0], socket -> serve(socket, id, decodes));
        System.out.println(server.getLocalPort());
        System.out.flush();
        // Ends with its parent, also if that is killed.
        while (System.in.read() >= 0) {
            Thread.sleep(1);
        }
        System.exit(0);
    }

    private static void serve(Socket socket, String id, boolean decodes) throws IOException {
        Http.Message request = Http.read(new BufferedInputStream(socket.getInputStream()));
        if (request == null || request.body() == null) {
            return;
        }
        boolean prefill = request.header("magnoliavane-serving-stage").equals("prefill");
        if (!request.header("magnoliavane-expect-instance").equals(id) || prefill == decodes) {
            Worker.write(
                    socket,
                    Worker.head(421, request) + "Magnoliavane-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else if (decodes) {
            decode(socket, request);
        } else {
            pause(PREFILL_MILLIS);
            String body = "{\"kvHandle\":\"" + id + "x" + HANDLES.incrementAndGet() + "\",\"tokens\":5200,\"version\":1}";
            Worker.write(
                    socket,
                    Worker.head(200, request) + "Content-Type: application/json\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body);
        }
    }

    private static void decode(Socket socket, Http.Message request) throws IOException {
        String lastId = request.header("last-event-id");
        int first = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1;
        Worker.write(
                socket,
                Worker.ranHead(200, request) + "Magnoliavane-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                        + "Connection: close\r\n\r\n");
        for (int event = first; event <= EVENTS; event++) {
            pause(EVENT_MILLIS);
            Worker.write(socket, "id: " + event + "\ndata: token " + event + "\n\n");
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
