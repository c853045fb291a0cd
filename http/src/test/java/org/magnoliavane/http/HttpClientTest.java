package org.magnoliavane.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class HttpClientTest {
    private static final String HOST = "127.0.0.1";

    /** More than the buffers of a connection hold. */
    private static final int UNREAD_BYTES = 30_000_000;

    private static final int EARLY_ROUNDS = 60;

    /** Less than the buffers of a connection hold. */
    private static final int BUFFERED_BYTES = 3_000_000;

    /** The part of such a request that the server reads. */
    private static final int READ_BYTES = 200_000;

    private HttpServer server;
    private HttpClient client;
    private int port;

    @BeforeClass
    public void start() throws IOException {
        server = new HttpServer();
        NetworkListener listener = new NetworkListener("test", HOST, 0);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new EchoHandler(), "/echo");
        server.start();
        port = listener.getPort();
        client = HttpClient.open("test-client");
    }

    @AfterClass
    public void stop() throws IOException {
        client.close();
        server.shutdownNow();
    }

    @Test
    public void aCompleteResponseHasItsStatusHeadersAndBody() throws Exception {
        byte[] body = "x".repeat(100_000).getBytes(StandardCharsets.UTF_8);
        HttpRequest request = HttpRequest.of("POST", HOST, port, "/echo").withBody("text/plain", body);
        HttpResponse response = client.send(request).get(5, TimeUnit.SECONDS);
        assertEquals(response.status(), 201);
        assertEquals(response.findHeader("x-length").orElseThrow(), "100000");
        assertEquals(response.body(), body);
    }

    /** Guards against an unknown outcome of a request whose complete response has been received. */
    @Test
    public void aCompleteResponseCountsWhenTheRequestCanNoLongerBeWritten() throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        CountDownLatch headReceived = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (ServerSocket early = new ServerSocket(0)) {
            byte[] body = new byte[UNREAD_BYTES];
            HttpRequest request =
                    HttpRequest.of("POST", HOST, early.getLocalPort(), "/").withBody("text/plain", body);
            client.stream(request, new ResponseListener() {
                @Override
                public void onHead(int status, Map<String, String> headers) {
                    headReceived.countDown();
                    awaitQuietly(closed);
                }

                @Override
                public void onBytes(byte[] bytes) {}

                @Override
                public void onEnd() {
                    outcome.complete("end");
                }

                @Override
                public void onFailure(IOException cause) {
                    outcome.complete("failure: " + cause.getMessage());
                }
            });
            try (Socket socket = early.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream()
                        .write("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.UTF_8));
                assertTrue(headReceived.await(5, TimeUnit.SECONDS));
            }
            // Time for the failure of the write that the unread bytes of the request cause.
            Thread.sleep(300);
            closed.countDown();
            assertEquals(outcome.get(5, TimeUnit.SECONDS), "end");
        }
    }

    /** Guards against a body that is not what the server wrote: decoded, or dropped because it could not be decoded. */
    @Test
    public void anEncodedBodyIsReceivedAsTheServerWroteIt() throws Exception {
        try (ServerSocket encoding = new ServerSocket(0)) {
            CompletableFuture<HttpResponse> response =
                    client.send(HttpRequest.of("GET", HOST, encoding.getLocalPort(), "/"));
            try (Socket socket = encoding.accept()) {
                socket.getInputStream().read(new byte[1000]);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 7\r\n\r\nno gzip"
                                .getBytes(StandardCharsets.UTF_8));
                assertEquals(new String(response.get(5, TimeUnit.SECONDS).body(), StandardCharsets.UTF_8), "no gzip");
            }
        }
    }

    @DataProvider
    public Object[][] earlyEnds() {
        return new Object[][] {{"reset"}, {"close"}, {"half-close"}};
    }

    /**
     * Guards against a part of a response that is taken for the whole: the server sends 200 without a length and ends the
     * connection while the request is still being written. A failed write can consume the error of the reset, and the next
     * read then reports an orderly close.
     */
    @Test(dataProvider = "earlyEnds")
    public void aResponseWithoutLengthThatEndsDuringTheUploadIsNotComplete(String end) throws Exception {
        List<String> complete = new ArrayList<>();
        try (ServerSocket early = new ServerSocket()) {
            early.setReceiveBufferSize(4096);
            early.bind(new InetSocketAddress(HOST, 0));
            byte[] body = new byte[UNREAD_BYTES];
            for (int round = 0; round < EARLY_ROUNDS; round++) {
                CompletableFuture<HttpResponse> response = client.send(
                        HttpRequest.of("POST", HOST, early.getLocalPort(), "/").withBody("text/plain", body));
                try (Socket socket = early.accept()) {
                    socket.getInputStream().read(new byte[1000]);
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart".getBytes(StandardCharsets.UTF_8));
                    Thread.sleep(round % 5);
                    end(socket, end, 20);
                }
                getBodyIfComplete(response).ifPresent(complete::add);
            }
        }
        assertEquals(complete, List.of(), complete.size() + " of " + EARLY_ROUNDS + " taken for complete");
    }

    /**
     * Guards against the same when the buffers of the connection hold the rest of the request, which the server has not read: to
     * the client, all of it is written.
     */
    @Test(dataProvider = "earlyEnds")
    public void aResponseWithoutLengthToAnUploadThatIsNotReadToItsEndIsNotComplete(String end) throws Exception {
        List<String> complete = new ArrayList<>();
        byte[] body = new byte[BUFFERED_BYTES];
        for (int round = 0; round < EARLY_ROUNDS; round++) {
            try (ServerSocket early = new ServerSocket(0)) {
                CompletableFuture<HttpResponse> response = client.send(
                        HttpRequest.of("POST", HOST, early.getLocalPort(), "/").withBody("text/plain", body));
                try (Socket socket = early.accept()) {
                    socket.getInputStream().readNBytes(READ_BYTES);
                    // The rest of the request fills the buffers.
                    Thread.sleep(round % 5 * 10L);
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart".getBytes(StandardCharsets.UTF_8));
                    end(socket, end, 0);
                }
                getBodyIfComplete(response).ifPresent(complete::add);
            }
        }
        assertEquals(complete, List.of(), complete.size() + " of " + EARLY_ROUNDS + " taken for complete");
    }

    /** An upload that was read to its end may be answered without a length, also if the connection is closed in two steps. */
    @Test
    public void aResponseWithoutLengthToAnUploadThatIsReadToItsEndIsComplete() throws Exception {
        byte[] body = new byte[BUFFERED_BYTES];
        for (int round = 0; round < 10; round++) {
            try (ServerSocket server = new ServerSocket(0)) {
                CompletableFuture<HttpResponse> response = client.send(
                        HttpRequest.of("POST", HOST, server.getLocalPort(), "/").withBody("text/plain", body));
                try (Socket socket = server.accept()) {
                    RequestHeads.read(socket.getInputStream());
                    assertEquals(socket.getInputStream().readNBytes(body.length).length, body.length);
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nwhole".getBytes(StandardCharsets.UTF_8));
                    if (round % 2 == 0) {
                        socket.shutdownOutput();
                        Thread.sleep(100);
                    }
                }
                assertEquals(new String(response.get(5, TimeUnit.SECONDS).body(), StandardCharsets.UTF_8), "whole");
            }
        }
    }

    private static Optional<String> getBodyIfComplete(CompletableFuture<HttpResponse> response) throws Exception {
        try {
            return Optional.of(new String(response.get(5, TimeUnit.SECONDS).body(), StandardCharsets.UTF_8));
        } catch (ExecutionException expected) {
            assertTrue(expected.getCause() instanceof IOException, expected.toString());
            return Optional.empty();
        }
    }

    private static void end(Socket socket, String end, long pauseMillis) throws IOException, InterruptedException {
        if (end.equals("half-close")) {
            socket.shutdownOutput();
            Thread.sleep(pauseMillis);
        }
        if (!end.equals("close")) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void aCheckTellsAServerThatListensFromOneThatHasEnded() throws Exception {
        int closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = socket.getLocalPort();
        }
        assertEquals(client.check(HOST, port).get(5, TimeUnit.SECONDS), ConnectResult.ACCEPTED);
        assertEquals(client.check(HOST, closed).get(5, TimeUnit.SECONDS), ConnectResult.REFUSED);
    }

    /** Guards against a server that seems to run because its host accepts connections until the end of its process. */
    @Test
    public void aHeldCheckTellsAServerThatEndsMeanwhile() throws Exception {
        assertEquals(client.check(HOST, port, 50).get(5, TimeUnit.SECONDS), ConnectResult.ACCEPTED);
        CompletableFuture<ConnectResult> result;
        try (ServerSocket ending = new ServerSocket(0)) {
            result = client.check(HOST, ending.getLocalPort(), 3000);
            Thread.sleep(100);
        }
        assertEquals(result.get(5, TimeUnit.SECONDS), ConnectResult.CLOSED);
    }

    /** Guards against retries of requests that may have been sent. Only a ConnectException proves that none was. */
    @Test
    public void aRefusedConnectionFailsWithAConnectException() throws Exception {
        int closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = socket.getLocalPort();
        }
        HttpRequest request = HttpRequest.of("GET", HOST, closed, "/echo");
        ExecutionException failure = expectThrows(
                ExecutionException.class, () -> client.send(request).get(5, TimeUnit.SECONDS));
        assertTrue(failure.getCause() instanceof ConnectException);
    }

    /** Guards against waiting forever for a server that accepts the connection and sends nothing. */
    @Test
    public void aRequestToAnUnresponsiveServerTimesOut() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0)) {
            HttpRequest request = HttpRequest.of("GET", HOST, unresponsive.getLocalPort(), "/")
                    .withTimeoutMillis(200);
            ExecutionException failure = expectThrows(
                    ExecutionException.class, () -> client.send(request).get(5, TimeUnit.SECONDS));
            assertTrue(failure.getCause() instanceof SocketTimeoutException);
        }
    }

    @Test
    public void eventsAreParsedHoweverTheirBytesAreSplit() {
        byte[] stream = ": keep-alive\n\nid: 1\nevent: token\ndata: {\"ä\":1}\n\ndata: a\ndata: b\n\n"
                .getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= stream.length; cut++) {
            List<ServerSentEvent> events = new ArrayList<>();
            ServerSentEventParser parser = new ServerSentEventParser(events::add);
            parser.feed(java.util.Arrays.copyOfRange(stream, 0, cut));
            parser.feed(java.util.Arrays.copyOfRange(stream, cut, stream.length));
            assertEquals(events.size(), 2);
            assertEquals(events.get(0).id().orElseThrow(), "1");
            assertEquals(events.get(0).data(), "{\"ä\":1}");
            assertEquals(events.get(1).data(), "a\nb");
        }
    }

    @DataProvider
    public Object[][] stages() {
        return new Object[][] {{"check"}, {"head"}, {"body"}, {"end"}};
    }

    /** Guards against requests that nobody ends, because the code that owns an exchange failed with an error. */
    @Test(dataProvider = "stages")
    public void anExchangeEndsWhenItsOwnerFails(String stage) throws Exception {
        FailingListener listener = new FailingListener(stage);
        client.stream(HttpRequest.of("POST", HOST, port, "/echo").withBody("text/plain", new byte[1]), listener, () -> {
            listener.failAt("check");
            return true;
        });
        listener.failure.get(5, TimeUnit.SECONDS);
    }

    /** Fails at one stage of an exchange. */
    private static final class FailingListener implements ResponseListener {
        private final CompletableFuture<IOException> failure = new CompletableFuture<>();
        private final String stage;

        FailingListener(String stage) {
            this.stage = stage;
        }

        void failAt(String reached) {
            if (reached.equals(stage)) {
                throw new StackOverflowError();
            }
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            failAt("head");
        }

        @Override
        public void onBytes(byte[] bytes) {
            failAt("body");
        }

        @Override
        public void onEnd() {
            failAt("end");
        }

        @Override
        public void onFailure(IOException cause) {
            failure.complete(cause);
        }
    }

    private static final class EchoHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws Exception {
            byte[] body = request.getInputStream().readAllBytes();
            response.setStatus(201);
            response.setHeader("X-Length", Integer.toString(body.length));
            response.getOutputStream().write(body);
        }
    }
}
