import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started by the run line of the deploy file with settings made from the template of the project. */
final class Router {
    private static final int READY_MILLIS = 20_000;

    final String name;
    final String host;
    final int callers;
    final int readiness;
    final int directory;
    final Process process;

    private Router(String name, String host, int callers, int readiness, int directory, Process process) {
        this.name = name;
        this.host = host;
        this.callers = callers;
        this.readiness = readiness;
        this.directory = directory;
        this.process = process;
    }

    /** Starts a router on a loopback address of its own, where the fixed port of the metrics is free. */
    static Router start(Store store, Path folder, String name, String host, boolean firstStart) throws IOException {
        int[] ports = findPorts(host, 4);
        String text = Files.readString(Path.of("platform/settings.toml.template"))
                .replace("{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}", "" + firstStart)
                .replace("{{#bounds.leaseMs}}", "")
                .replace("{{/bounds.leaseMs}}{{^bounds.leaseMs}}0{{/bounds.leaseMs}}", "");
        String[][] values = {
            {"nodeName", quote(name)}, {"zone", quote("z1")}, {"platform.address", quote(store.address())},
            {"listen.frontend", quote(host + ":" + ports[0])}, {"listen.readiness", quote(host + ":" + ports[1])},
            {"listen.registry", quote(host + ":" + ports[2])}, {"portRange.0", "" + ports[3]},
            {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "54"}, {"bounds.retryWindowS", "10"},
            {"bounds.graceS", "8"}, {"bounds.drainMs", "2000"}, {"bounds.configApplyMs", "2000"},
            {"bounds.contactMs", "3000"}, {"heartbeatMs", "1200"}, {"bounds.leaseMs", "3000"},
        };
        for (String[] value : values) {
            text = text.replace("{{" + value[0] + "|json}}", value[1]);
        }
        Path settings = Files.writeString(folder.resolve(name + ".toml"), text);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MAGNOLIAVANE_BOOT", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        Process process = builder.redirectErrorStream(true).redirectOutput(log).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new Router(name, host, ports[0], ports[1], ports[2], process);
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }

    private static int[] findPorts(String host, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(host));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (System.nanoTime() < end) {
            try {
                Http.Message answer =
                        Http.call(host, readiness, Http.bytes("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"), 1000);
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("router " + name + " is not ready");
    }

    void end() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
