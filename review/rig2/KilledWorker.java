import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One of seven model workers, whose streams have no length, is killed while it writes, and comes back. Without the disruption
 * none is killed.
 *
 * <p>Broken if a stream reaches a caller as complete before its last event.
 */
public final class KilledWorker extends Case {
    private static final int CALLERS = 12;
    private static final int SECONDS = 30;
    private static final int FIRST_KILL_SECOND = 6;
    private static final int SECOND_KILL_SECOND = 18;

    /** Time after which a killed worker starts again, and time limit of the requests, in milliseconds: those of the site. */
    private static final int DOWN_MILLIS = 3600;

    private static final int LIMIT_MILLIS = 14_000;
    private static final Pattern EVENT = Pattern.compile("id: ([0-9]+)\n");

    private final List<ModelWorker> workers = new ArrayList<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger falselyComplete = new AtomicInteger();

    private KilledWorker() throws IOException {}

    public static void main(String[] args) throws IOException {
        main(new KilledWorker(), args);
    }

    @Override
    void prepare() throws IOException {
        for (int i = 0; i < 7; i++) {
            workers.add(new ModelWorker("i-" + i, i < 3 ? "prefill" : "decode", address(100 + i)));
        }
        for (ModelWorker worker : workers) {
            worker.start();
        }
        startRouters(2);
    }

    @Override
    boolean run() throws Exception {
        long start = System.nanoTime();
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            threads.execute(() -> call(caller, start));
        }
        threads.shutdown();
        for (int second : new int[] {FIRST_KILL_SECOND, SECOND_KILL_SECOND}) {
            Thread.sleep(Math.max(0, second * 1000L - (System.nanoTime() - start) / 1_000_000));
            ModelWorker worker = workers.get(second == FIRST_KILL_SECOND ? 3 : 4);
            if (trouble) {
                log("SIGKILL of " + worker.id);
                worker.kill();
                Thread.sleep(DOWN_MILLIS);
                worker.start();
            }
        }
        threads.awaitTermination(SECONDS + 20, TimeUnit.SECONDS);
        for (ModelWorker worker : workers) {
            worker.kill();
        }
        log("streams: whole=" + whole + " broken off=" + brokenOff + " failed=" + failed + " complete before their last event="
                + falselyComplete);
        return falselyComplete.get() > 0;
    }

    private void call(int caller, long start) {
        Router router = routers.get(caller % routers.size());
        String path = caller % 3 == 0 ? "/resumable/1" : "/stream/1";
        while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(SECONDS)) {
            String id = newId();
            String request = requestHead("POST", path, id, LIMIT_MILLIS) + "Magnoliavane-Model: m\r\nMagnoliavane-Token-Count: 5200,"
                    + StreamWorker.EVENTS + "\r\nMagnoliavane-Prompt-Prefix: 5c1e07a2:200," + id.substring(8)
                    + ":5000\r\nContent-Length: 6\r\n\r\nprompt";
            try {
                check(path, id, Http.call(router.host, router.callers, Http.bytes(request), LIMIT_MILLIS));
            } catch (IOException e) {
                brokenOff.incrementAndGet();
                log(path + " request " + id + ": " + e);
            }
        }
    }

    private void check(String path, String id, Http.Message answer) {
        if (answer == null || answer.body() == null) {
            brokenOff.incrementAndGet();
            log(path + " request " + id + ": broken off");
            return;
        }
        if (answer.status() != 200) {
            failed.incrementAndGet();
            log(path + " request " + id + ": " + answer.firstLine());
            return;
        }
        int last = 0;
        for (Matcher event = EVENT.matcher(answer.text()); event.find(); ) {
            last = Integer.parseInt(event.group(1));
        }
        if (last == StreamWorker.EVENTS) {
            whole.incrementAndGet();
        } else {
            falselyComplete.incrementAndGet();
            log(path + " request " + id + ": COMPLETE at event " + last + " of " + StreamWorker.EVENTS + ", receipt "
                    + answer.header("magnoliavane-response-signature"));
        }
    }

    /** A model worker process and its entry in the store, which is written while it runs. */
    private final class ModelWorker {
        private static final long HEARTBEAT_MILLIS = 1200;
        private final String id;
        private final String stage;
        private final String host;
        private Process process;

        ModelWorker(String id, String stage, String host) {
            this.id = id;
            this.stage = stage;
            this.host = host;
        }

        void start() throws IOException {
            String instance = id + "-" + System.nanoTime() % 100_000;
            Process started = new ProcessBuilder(
                            System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                            "-Xmx32m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                            "StreamWorker", host, instance, stage)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            process = started;
            int port = Integer.parseInt(
                    new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.US_ASCII)).readLine());
            String entry = "{\"service\":\"llm\",\"address\":\"" + host + ":" + port
                    + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\""
                    + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":0,\"born\":"
                    + System.currentTimeMillis() + "}";
            Thread beats = new Thread(() -> {
                int missed = 0;
                while (missed < 3) {
                    missed = started.isAlive() ? 0 : missed + 1;
                    if (missed == 0) {
                        store.put("keyed.servers", instance, entry);
                    }
                    try {
                        Thread.sleep(HEARTBEAT_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                // The platform removes the entry after three heartbeat intervals of silence.
                store.put("keyed.servers", instance, "");
            });
            beats.setDaemon(true);
            beats.start();
        }

        void kill() {
            process.destroyForcibly();
        }
    }
}
