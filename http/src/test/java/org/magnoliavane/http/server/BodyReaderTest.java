package org.magnoliavane.http.server;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.http.DaemonTimers;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class BodyReaderTest {
    private static final String HOST = "127.0.0.1";
    private static final int LIMIT_BYTES = 1_000_000;
    private static final int TIMEOUT_MILLIS = 20_000;

    private final ByteBudget budget = ByteBudget.of(16 << 20);
    private final ScheduledExecutorService timers = DaemonTimers.open("test", 1);
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private HttpServer server;
    private int port;

    /** What the reader has called, and at which depth of the stack. */
    private record Outcome(String result, int frames) {}

    @BeforeClass
    public void start() throws IOException {
        server = new HttpServer();
        NetworkListener listener = new NetworkListener("test", HOST, 0);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new ReadingHandler(), "/");
        server.start();
        port = listener.getPort();
    }

    @AfterClass
    public void stop() {
        server.shutdownNow();
        timers.shutdownNow();
    }

    @BeforeMethod
    public void forgetOutcomes() {
        outcomes.clear();
    }

    /** Guards against requests that are never answered, because each chunk that has arrived nests in the one before. */
    @Test
    public void aBodyInManySmallChunksIsReadAtTheDepthOfAFew() throws Exception {
        Outcome few = send(chunks(20, 1) + "0\r\n\r\n");
        Outcome many = send(chunks(100_000, 1) + "0\r\n\r\n");
        assertEquals(few.result, "body of 20");
        assertEquals(many.result, "body of 100000");
        assertTrue(many.frames <= few.frames + 30, many.frames + " frames, with few chunks " + few.frames);
    }

    @DataProvider
    public Object[][] bodies() {
        return new Object[][] {
            {"0\r\n\r\n", "body of 0"},
            {chunks(1, 5) + "0\r\nX-Trailer: 1\r\n\r\n", "body of 5"},
            {chunks(700, 1000) + "0\r\n\r\n", "body of 700000"},
            {chunks(2, 600_000) + "0\r\n\r\n", "TOO_LARGE"},
            {chunks(1100, 1000) + "0\r\n\r\n", "TOO_LARGE"},
            {chunks(50, 10) + "zz\r\n", "MALFORMED"},
        };
    }

    @Test(dataProvider = "bodies")
    public void aChunkedBodyIsReadOnceOrFailsOnce(String body, String expected) throws Exception {
        assertEquals(send(body).result, expected);
        assertEquals(outcomes.poll(100, TimeUnit.MILLISECONDS), null);
    }

    /** Guards against a reader that waits for the end of a body when the connection has ended. */
    @Test
    public void aChunkedBodyThatBreaksOffFails() throws Exception {
        try (Socket socket = new Socket(HOST, port)) {
            write(socket, chunks(50, 10));
        }
        assertEquals(outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).result, "MALFORMED");
    }

    private Outcome send(String body) throws Exception {
        try (Socket socket = new Socket(HOST, port)) {
            write(socket, body);
            return outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void write(Socket socket, String body) throws IOException {
        OutputStream out = socket.getOutputStream();
        String head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.UTF_8));
    }

    private static String chunks(int count, int size) {
        return (Integer.toHexString(size) + "\r\n" + "x".repeat(size) + "\r\n").repeat(count);
    }

    private final class ReadingHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            response.suspend();
            ByteBudget.Allocation allocation = budget.open(ByteBudget.Use.LARGE_CALLER_BODY);
            BodyReader.read(
                    request,
                    LIMIT_BYTES,
                    TIMEOUT_MILLIS,
                    timers,
                    allocation,
                    body -> end(response, allocation, "body of " + body.length),
                    failure -> end(response, allocation, failure.toString()));
        }

        private void end(Response response, ByteBudget.Allocation allocation, String result) {
            outcomes.add(new Outcome(result, StackWalker.getInstance().walk(s -> (int) s.count())));
            allocation.close();
            response.resume();
        }
    }
}
