package org.magnoliavane.cli;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliavane.platform.HeaderCodec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests how a router process handles signals. */
public class RouteCommandTest {
    private static final int CALLERS = 4;
    private static final int SIGNALS = 20;

    /** Time for which callers may use the address of a router that stops: three lifetimes of an address. */
    private static final long ADDRESS_MILLIS = 1500;

    private final List<Integer> ports = new ArrayList<>();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private Path settings;
    private Path log;
    private Process process;

    @BeforeMethod
    public void start() throws Exception {
        ports.clear();
        while (ports.size() < 6) {
            ports.add(findPort());
        }
        settings = Files.createTempFile("router", ".toml");
        log = Files.createTempFile("router", ".log");
        Files.writeString(
                settings,
                "[node]\nname = \"node-1\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:" + ports.get(0)
                        + "\"\nreadiness = \"127.0.0.1:" + ports.get(1) + "\"\ndirectory = \"127.0.0.1:" + ports.get(2)
                        + "\"\npeer_port = " + ports.get(3) + "\nmetrics_port = " + ports.get(4)
                        + "\n[store]\naddress = \"127.0.0.1:" + ports.get(5)
                        + "\"\n[retries]\nratio = 0.2\nallowance = 54\nwindow_seconds = 10\n"
                        + "[timing]\naddress_lifetime_seconds = 0.5\nstop_grace_seconds = 3\ndrain_millis = 2000\n"
                        + "configuration_millis = 2000\ncontact_millis = 3000\n"
                        + "lapse_grace_seconds = 2\nlisting_renewal_millis = 1200\n");
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx112m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        Main.class.getName(),
                        "route",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        process.destroyForcibly().onExit().join();
        Files.deleteIfExists(settings);
        Files.deleteIfExists(log);
    }

    /** Guards against a router that ends, or cuts requests, because its settings cannot be read when it is told to reload. */
    @Test
    public void signalsToReloadWithoutASettingsFileLoseNoRequestAlsoDuringAStop() throws Exception {
        awaitListening(ports.get(0));
        Files.delete(settings);
        Map<String, Long> lost = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new Thread(() -> callUntilRefused(lost)));
        }
        callers.forEach(Thread::start);
        for (int i = 0; i < SIGNALS; i++) {
            send("HUP");
            Thread.sleep(50);
        }
        assertTrue(process.isAlive(), Files.readString(log));
        assertEquals(lost.toString(), "{}");
        Files.createDirectory(settings);
        long stopNanos = System.nanoTime();
        send("TERM");
        while (process.isAlive()) {
            send("HUP");
            send("TERM");
            Thread.sleep(20);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        assertEquals(process.exitValue(), 0, Files.readString(log));
        // The end of listening resets connections whose requests the process has not read.
        for (Map.Entry<String, Long> request : lost.entrySet()) {
            long afterStopMillis = TimeUnit.NANOSECONDS.toMillis(request.getValue() - stopNanos);
            assertTrue(afterStopMillis >= ADDRESS_MILLIS, afterStopMillis + " ms after the signal: " + lost);
            assertFalse(Files.readString(log).contains("request=" + request.getKey() + " "), lost.toString());
        }
        assertTrue(Files.readString(log).contains("event=reload outcome=rejected"), Files.readString(log));
        assertTrue(Files.readString(log).contains("event=leaving"), Files.readString(log));
    }

    /** Guards against a router that ends at once because a signal comes as soon as it listens. */
    @Test
    public void aSignalToReloadThatComesAsSoonAsTheRouterListensDoesNotEndIt() throws Exception {
        awaitListening(ports.get(4));
        send("HUP");
        assertFalse(process.waitFor(1, TimeUnit.SECONDS), Files.readString(log));
        assertTrue(call("r1").startsWith("HTTP/1.1 503"));
    }

    /** Guards against a router that ends without its graceful shutdown because it is stopped as soon as it listens. */
    @Test
    public void aSignalToStopThatComesAsSoonAsTheRouterListensStopsItGracefully() throws Exception {
        awaitListening(ports.get(4));
        send("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 0, Files.readString(log));
        assertTrue(Files.readString(log).contains("event=stop"), Files.readString(log));
    }

    private void send(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .redirectErrorStream(true)
                .start()
                .waitFor();
    }

    /** Sends requests until no connection is accepted, and records those without a complete answer with their time. */
    private void callUntilRefused(Map<String, Long> lost) {
        while (true) {
            String id = "r" + lastRequest.incrementAndGet();
            long startNanos = System.nanoTime();
            try {
                String text = call(id);
                if (!text.startsWith("HTTP/1.1 503") || !text.endsWith("}")) {
                    lost.put(id, startNanos);
                }
            } catch (ConnectException e) {
                return;
            } catch (IOException e) {
                lost.put(id, startNanos);
            }
        }
    }

    private String call(String id) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(0))) {
            socket.getOutputStream()
                    .write(("POST /x HTTP/1.1\r\nHost: h\r\n" + HeaderCodec.ATTEMPT_ID + ": " + id
                                    + "\r\nContent-Length: 4\r\n\r\nbody")
                            .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void awaitListening(int port) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!isListening(port)) {
            assertTrue(process.isAlive() && System.nanoTime() < endNanos, Files.readString(log));
            Thread.sleep(1);
        }
    }

    private static boolean isListening(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Finds a free port outside the ephemeral range, from which outgoing connections take theirs. */
    private static int findPort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                Thread.onSpinWait();
            }
        }
    }
}
