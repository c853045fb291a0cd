package org.magnoliavane.emulator.load;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.emulator.engine.TokenText;

/** Responds to requests as a node does, with the faults that a test queues. */
final class FakeNode extends HttpHandler implements AutoCloseable {
    static final String BREAK = "break";
    static final String DOUBLE = "double";
    static final String LOSE = "lose";
    static final String CROSS = "cross";
    static final String REFUSE = "refuse";

    private static final int FAULT_POSITION = 3;

    final Queue<String> faults = new ConcurrentLinkedQueue<>();
    final Queue<String> resumedFrom = new ConcurrentLinkedQueue<>();
    final Queue<String> keys = new ConcurrentLinkedQueue<>();
    private final HttpServer server = new HttpServer();
    private final NetworkListener listener = new NetworkListener("fake-node", "127.0.0.1", 0);

    FakeNode() throws IOException {
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(this, "/");
        server.start();
    }

    String getUrl() {
        return "http://127.0.0.1:" + listener.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    @Override
    public void service(Request request, Response response) throws Exception {
        String body = new String(request.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        switch (request.getRequestURI()) {
            case "/v1/addresses":
                write(
                        response,
                        "{\"lifetime_seconds\":30,\"addresses\":[{\"node\":\"n\",\"url\":\"" + getUrl()
                                + "\",\"zone\":\"a\",\"run_token\":\"n.7.100\"}]}");
                break;
            case "/v1/chat/completions":
                chat(request, response, body);
                break;
            default:
                book(request, response);
                break;
        }
    }

    private void book(Request request, Response response) throws IOException {
        keys.add(request.getHeader("Idempotency-Key"));
        String fault = faults.poll();
        if (BREAK.equals(fault)) {
            request.getContext().getConnection().terminateSilently();
            return;
        }
        response.setStatus(201);
        String key = CROSS.equals(fault) ? "other" : request.getHeader("Idempotency-Key");
        write(response, "{\"key\":\"" + key + "\"}");
    }

    private void chat(Request request, Response response, String body) throws IOException {
        String fault = String.valueOf(faults.poll());
        if (fault.equals(REFUSE)) {
            response.setStatus(429);
            write(response, "{\"error\":{\"type\":\"overloaded\",\"ran\":\"no\",\"retry_after_millis\":50}}");
            return;
        }
        String last = request.getHeader("Last-Event-ID");
        if (last != null) {
            resumedFrom.add(last);
        }
        int from = last == null ? 0 : Integer.parseInt(last.substring(last.lastIndexOf('/') + 1));
        int length = TokenText.findMaxOutput(body).orElseThrow();
        response.setContentType("text/event-stream");
        for (int position = from + 1; position <= length; position++) {
            if (position == FAULT_POSITION && fault.equals(BREAK)) {
                request.getContext().getConnection().terminateSilently();
                return;
            }
            if (position != FAULT_POSITION || !fault.equals(LOSE)) {
                writeToken(response, position, fault, TokenText.computeCheck(body));
            }
        }
        write(response, "data: [DONE]\n\n");
    }

    private static void writeToken(Response response, int position, String fault, String check) throws IOException {
        boolean faulty = position == FAULT_POSITION;
        String eventCheck = faulty && fault.equals(CROSS) ? "00000000" : check;
        String text = TokenText.format(position, eventCheck);
        String event = "id: w/a/" + position + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
        write(response, faulty && fault.equals(DOUBLE) ? event + event : event);
    }

    private static void write(Response response, String text) throws IOException {
        OutputStream output = response.getOutputStream();
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
