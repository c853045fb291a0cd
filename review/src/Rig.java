import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Runs routers as the platform does: with the run line and the settings template of the deploy file. */
final class Rig implements AutoCloseable {
    static final int LEASE_MILLIS = 3000;
    static final int DRAIN_MILLIS = 2000;
    static final int CONTACT_MILLIS = 3000;
    static final int CONFIG_APPLY_MILLIS = 2000;
    static final int HEARTBEAT_MILLIS = 1200;

    final Path folder;
    final Path temporary;
    final boolean trouble;
    final Store store;
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Router> routers = new ArrayList<>();
    private final Random random = new Random();

    Rig(String caseFolder) throws IOException {
        folder = Path.of(caseFolder).toAbsolutePath();
        temporary = Files.createTempDirectory("review");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        store = new Store();
        note("trouble=" + trouble);
    }

    /** Starts a stand-in for the case, and ends the process with the status of the check. */
    static void main(String caseFolder, Check check) {
        int status = 2;
        try (Rig rig = new Rig(caseFolder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endRouters));
            try {
                status = check.run(rig) ? 0 : 1;
            } catch (Exception | AssertionError e) {
                rig.note("the case could not run: " + e);
                e.printStackTrace();
            }
            rig.workers.forEach(w -> rig.note("worker=" + w.id + " service=" + w.service + " runs=" + w.runs.size()));
            rig.note("status=" + status);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    interface Check {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String line) {
        String text = String.format("%7d %s", millis(), line);
        record.println(text);
        System.out.println(text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Chooses a loopback address of its own for a machine. */
    String chooseAddress() {
        return "127." + (20 + random.nextInt(200)) + "." + random.nextInt(256) + "." + (2 + random.nextInt(250));
    }

    static int findFreePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    Router startRouter(String name, String zone, InetSocketAddress storeAddress) throws IOException {
        String ip = chooseAddress();
        Router router = new Router(
                this, name, zone, ip, findFreePort(ip), findFreePort(ip), findFreePort(ip), findFreePort(ip), storeAddress);
        routers.add(router);
        router.start();
        return router;
    }

    void endRouters() {
        routers.forEach(Router::kill);
    }

    @Override
    public void close() throws IOException {
        endRouters();
        record.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    /** A router process. */
    static final class Router {
        final Rig rig;
        final String name;
        final String ip;
        final int callers;
        final int readiness;
        final int registry;
        final int peer;
        final Path log;
        private final Path settings;
        private volatile Process process;

        Router(Rig rig, String name, String zone, String ip, int callers, int readiness, int registry, int peer,
                InetSocketAddress storeAddress) throws IOException {
            this.rig = rig;
            this.name = name;
            this.ip = ip;
            this.callers = callers;
            this.readiness = readiness;
            this.registry = registry;
            this.peer = peer;
            log = rig.temporary.resolve(name + ".log");
            settings = rig.temporary.resolve(name + ".toml");
            Map<String, String> values = Map.ofEntries(
                    Map.entry("nodeName", quote(name)),
                    Map.entry("zone", quote(zone)),
                    Map.entry("listen.frontend", quote(ip + ":" + callers)),
                    Map.entry("listen.readiness", quote(ip + ":" + readiness)),
                    Map.entry("listen.registry", quote(ip + ":" + registry)),
                    Map.entry("portRange.0", Integer.toString(peer)),
                    Map.entry("platform.address", quote(format(storeAddress))),
                    Map.entry("bounds.retryBudgetRatio", "0.2"),
                    Map.entry("bounds.budgetSlack", "52"),
                    Map.entry("bounds.retryWindowS", "10"),
                    Map.entry("bounds.graceS", "8"),
                    Map.entry("bounds.drainMs", Integer.toString(DRAIN_MILLIS)),
                    Map.entry("bounds.configApplyMs", Integer.toString(CONFIG_APPLY_MILLIS)),
                    Map.entry("bounds.contactMs", Integer.toString(CONTACT_MILLIS)),
                    Map.entry("bounds.leaseMs", Integer.toString(LEASE_MILLIS)),
                    Map.entry("heartbeatMs", Integer.toString(HEARTBEAT_MILLIS)));
            Files.writeString(settings, render(Files.readString(Path.of(readDeployFile("template"))), values));
        }

        private static String quote(String text) {
            return '"' + text + '"';
        }

        private static String format(InetSocketAddress address) {
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        }

        private static String render(String template, Map<String, String> values) {
            String text = template.replaceAll("(?s)\\{\\{\\^[^}]*}}.*?\\{\\{/[^}]*}}", "")
                    .replaceAll("\\{\\{[#/][^}]*}}", "");
            Matcher matcher = Pattern.compile("\\{\\{([^}|]*)(\\|json)?}}").matcher(text);
            StringBuilder result = new StringBuilder();
            while (matcher.find()) {
                String value = values.get(matcher.group(1));
                if (value == null) {
                    throw new IllegalStateException("no value for " + matcher.group(1));
                }
                matcher.appendReplacement(result, Matcher.quoteReplacement(value));
            }
            return matcher.appendTail(result).toString();
        }

        private static String readDeployFile(String key) throws IOException {
            Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                    .matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!matcher.find()) {
                throw new IOException("no " + key + " in the deploy file");
            }
            return matcher.group(1);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(readDeployFile("run").split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MAGNOLIAVANE_BOOT", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            rig.note("start router=" + name + " callers=" + ip + ":" + callers + " pid=" + process.pid());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException {
            rig.note("signal " + signal + " router=" + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        InetSocketAddress getCallerAddress() {
            return new InetSocketAddress(ip, callers);
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readiness), 500);
                socket.setSoTimeout(1000);
                return Http.exchange(socket, "GET", "/v1/readyz", Map.of("Host", ip), new byte[0]).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            long end = rig.millis() + 30_000;
            while (!isReady()) {
                if (rig.millis() > end) {
                    throw new IllegalStateException("router " + name + " isn't ready");
                }
                sleep(100);
            }
        }
    }
}
