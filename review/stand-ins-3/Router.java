import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started by the command of the deploy file on a loopback address of its own. */
final class Router implements AutoCloseable {
    final String name;
    final String host;
    final int port;
    final int readinessPort;
    final int directoryPort;
    private final int peerPort;
    private final String zone;
    private final String store;
    private final Path folder;
    private final Record record;
    private Process process;
    private int starts;

    Router(String name, String host, String zone, String store, Path folder, Record record) throws IOException {
        this.name = name;
        this.host = host;
        this.zone = zone;
        this.store = store;
        this.folder = folder;
        this.record = record;
        port = Wire.freePort(host);
        readinessPort = Wire.freePort(host);
        directoryPort = Wire.freePort(host);
        peerPort = Wire.freePort(host);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts the process; the bounds are those of the small sites. */
    void start() throws IOException {
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "[node]",
                        "name = \"" + name + "\"",
                        "zone = \"" + zone + "\"",
                        "first_start = " + (starts == 0),
                        "[listen]",
                        "callers = \"" + host + ":" + port + "\"",
                        "readiness = \"" + host + ":" + readinessPort + "\"",
                        "directory = \"" + host + ":" + directoryPort + "\"",
                        "peer_port = " + peerPort,
                        "metrics_port = 9464",
                        "[store]",
                        "address = \"" + store + "\"",
                        "[retries]",
                        "ratio = 0.2",
                        "allowance = 54",
                        "window_seconds = 10",
                        "[timing]",
                        "address_lifetime_seconds = 2",
                        "stop_grace_seconds = 8",
                        "drain_millis = 2000",
                        "configuration_millis = 2000",
                        "contact_millis = 3000",
                        "lapse_grace_seconds = 2",
                        "listing_renewal_millis = 1200",
                        "order_lease_millis = 3000",
                        "[logging]",
                        "level = \"info\"",
                        ""));
        starts++;
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MAGNOLIAVANE_BOOT", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        process = builder.start();
        record.add("router %s started, pid %d", name, process.pid());
    }

    /** Reads the run line of the deploy file, which is split at spaces. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    boolean isReady() {
        try (Socket socket = Wire.connect(host, readinessPort)) {
            socket.setSoTimeout(1000);
            Wire.write(
                    socket.getOutputStream(),
                    Wire.bytes("GET /v1/readyz HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n"));
            Wire.Message response = Wire.readResponse(socket.getInputStream());
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IOException("router " + name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.add("router %s ready", name);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        record.add("router %s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String log() throws IOException {
        File log = folder.resolve(name + ".log").toFile();
        return log.exists() ? Files.readString(log.toPath()) : "";
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
