package org.magnoliavane.emulator.booking;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.emulator.EmulatorClient;
import org.magnoliavane.http.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

public class BookingEmulatorTest {
    private BookingEmulator booking;
    private EmulatorClient client;

    @BeforeMethod
    public void start() throws Exception {
        booking = BookingEmulator.start();
        client = new EmulatorClient();
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        booking.close();
    }

    /**
     * Guards against an emulator that does not count a second execution. The tests of at-most-once execution rely on
     * the count.
     */
    @Test
    public void everyExecutionOfAKeyIsCounted() throws Exception {
        assertEquals(book("/bookings", "k1", "{}").get(5, TimeUnit.SECONDS).status(), 201);
        assertEquals(book("/payments", "k1", "{}").get(5, TimeUnit.SECONDS).status(), 201);
        assertEquals(
                client.fetchJson(booking, "GET", "/control/runs", "").get("k1").asInt(), 2);
        assertEquals(client.sendAndAwait(booking, "GET", "/schedule", "").status(), 200);
    }

    @Test
    public void anExecutionWithADroppedResponseIsCounted() throws Exception {
        client.sendAndAwait(booking, "POST", "/control", "{\"drop_next\":1}");
        CompletableFuture<HttpResponse> dropped = book("/bookings", "k1", "{}");
        expectThrows(ExecutionException.class, () -> dropped.get(5, TimeUnit.SECONDS));
        assertEquals(booking.getRunCounts().get("k1"), 1);
        assertEquals(book("/bookings", "k2", "{}").get(5, TimeUnit.SECONDS).status(), 201);
    }

    @Test
    public void aCrashAfterTheExecutionIsCountedAndACrashBeforeItIsNot() throws Exception {
        client.sendAndAwait(booking, "POST", "/control", "{\"crash_marker\":\"boom\",\"crash_phase\":\"after\"}");
        CompletableFuture<HttpResponse> crashed = book("/bookings", "k1", "{\"note\":\"boom\"}");
        expectThrows(ExecutionException.class, () -> crashed.get(5, TimeUnit.SECONDS));
        assertEquals(booking.getRunCounts().size(), 1);
        try (BookingEmulator other = BookingEmulator.start("--crash-marker", "boom", "--crash-phase", "before")) {
            CompletableFuture<HttpResponse> before = client.send(other, "POST", "/bookings", "boom");
            expectThrows(ExecutionException.class, () -> before.get(5, TimeUnit.SECONDS));
            assertEquals(other.getRunCounts().size(), 0);
        }
    }

    private CompletableFuture<HttpResponse> book(String path, String key, String body) {
        return client.getHttp()
                .send(EmulatorClient.createRequest(booking, "POST", path, body).withHeader("Idempotency-Key", key));
    }
}
