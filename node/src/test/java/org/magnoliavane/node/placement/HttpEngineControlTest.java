package org.magnoliavane.node.placement;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.http.HttpClient;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class HttpEngineControlTest {
    private HttpClient http;

    @BeforeClass
    public void start() throws IOException {
        http = HttpClient.open("engines-test");
    }

    @AfterClass
    public void stop() throws IOException {
        http.close();
    }

    /** Guards against undetected crashes, and against treating a slow worker as crashed. */
    @Test
    public void onlyAClosedPortCountsAsRefused() throws Exception {
        ServerSocket silent = new ServerSocket(0);
        assertFalse(expectFailure(silent.getLocalPort()) instanceof ConnectionRefusedException);
        silent.close();
        assertTrue(expectFailure(silent.getLocalPort()) instanceof ConnectionRefusedException);
    }

    @Test
    public void aLoadReportWithUnknownAndMissingFieldsIsParsed() throws Exception {
        String body = "{\"as_of_millis\":5,\"role\":\"decode\",\"total_pieces\":20,\"free_pieces\":7,\"extra\":1,"
                + "\"attempts\":[{\"attempt\":\"a-1\",\"owner\":\"entry-1.5\",\"phase\":\"decode\",\"pieces\":2,"
                + "\"position\":3,\"attached\":true}]}";
        try (ServerSocket server = new ServerSocket(0)) {
            Thread answering = new Thread(() -> answer(server, body));
            answering.start();
            EngineLoadReport report = new HttpEngineControl(http)
                    .fetchLoad(worker(server.getLocalPort()))
                    .toCompletableFuture()
                    .get(3, TimeUnit.SECONDS);
            assertEquals(report.freePieces(), 7);
            assertEquals(report.attempts().get(0), new ReportedAttempt("a-1", "entry-1.5", "decode", 2, 3, true));
        }
    }

    private Throwable expectFailure(int port) {
        ExecutionException failure = expectThrows(
                ExecutionException.class,
                () -> new HttpEngineControl(http)
                        .fetchLoad(worker(port))
                        .toCompletableFuture()
                        .get(3, TimeUnit.SECONDS));
        Throwable cause = failure.getCause();
        return cause instanceof CompletionException ? cause.getCause() : cause;
    }

    private static void answer(ServerSocket server, String body) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[4096]);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static BackendServer worker(int port) {
        return new BackendServer("w", "s", WorkerRole.DECODE, "127.0.0.1", port, "a", false);
    }
}
