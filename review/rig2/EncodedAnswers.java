import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.GZIPOutputStream;

/**
 * Two of four workers spoil a few of their answers: these have a {@code Content-Encoding} that no caller has asked for, half of
 * them with a body in that encoding, half without. Without the disruption no answer has one.
 *
 * <p>Broken if a caller gets a success whose body is not, byte for byte, the one that the worker wrote.
 */
public final class EncodedAnswers extends Case {
    private static final int CALLERS = 16;
    private static final int SECONDS = 15;

    /** The disruption lasts from second 4 to second 9. */
    private static final int FROM_SECOND = 4;

    private static final int TO_SECOND = 9;

    /** One answer in so many is spoiled: the share is 0.03. */
    private static final int ONE_IN = 34;

    private final Map<String, byte[]> written = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private volatile long startNanos = Long.MAX_VALUE;

    private EncodedAnswers() throws IOException {}

    public static void main(String[] args) throws IOException {
        main(new EncodedAnswers(), args);
    }

    @Override
    void prepare() throws IOException {
        for (int i = 0; i < 4; i++) {
            boolean faulty = i < 2;
            new Worker(store, address(100 + i), "i-" + i, "app", (worker, request, socket) -> {
                pause(60);
                String id = request.header("magnoliavane-attempt-id");
                byte[] body = Http.bytes(("booking " + id + " is confirmed; ").repeat(20));
                String encoding = "";
                if (faulty && isDisrupted() && answers.incrementAndGet() % ONE_IN == 0) {
                    encoding = "Content-Encoding: gzip\r\n";
                    body = spoiled.incrementAndGet() % 2 == 0 ? compress(body) : Arrays.copyOf(body, 9);
                    log(worker.id + " spoils its answer to " + id + ": " + body.length + " bytes as gzip");
                }
                written.put(id, body);
                Worker.write(
                        socket, Worker.ranHead(200, request) + encoding + "Content-Length: " + body.length + "\r\n\r\n");
                socket.getOutputStream().write(body);
            });
        }
        startRouters(2);
    }

    private boolean isDisrupted() {
        long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);
        return trouble && startNanos != Long.MAX_VALUE && second >= FROM_SECOND && second < TO_SECOND;
    }

    private static byte[] compress(byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            out.write(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    boolean run() throws Exception {
        startNanos = System.nanoTime();
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Runnable> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.add(() -> call(caller));
        }
        callers.forEach(threads::execute);
        threads.shutdown();
        threads.awaitTermination(SECONDS + 10, TimeUnit.SECONDS);
        log("answers of the faulty workers while disrupted=" + answers + " spoiled=" + spoiled + " successes=" + successes
                + " failures=" + failures + " wrong=" + wrong);
        return wrong.get() > 0;
    }

    private void call(int caller) {
        Router router = routers.get(caller % routers.size());
        while (System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(SECONDS)) {
            String id = newId();
            String method = caller % 2 == 0 ? "POST" : "GET";
            String path = caller % 2 == 0 ? "/book/1" : "/look/1";
            String head = requestHead(method, path, id) + "Accept-Encoding: identity\r\nContent-Length: 0\r\n\r\n";
            try {
                check(id, Http.call(router.host, router.callers, Http.bytes(head), TIMEOUT_MILLIS));
            } catch (IOException e) {
                log("request " + id + ": " + e);
                failures.incrementAndGet();
            }
        }
    }

    private void check(String id, Http.Message answer) {
        if (answer == null || answer.status() != 200) {
            failures.incrementAndGet();
            log("request " + id + ": " + (answer == null ? "closed" : answer.firstLine()));
            return;
        }
        successes.incrementAndGet();
        byte[] expected = written.get(id);
        if (!Arrays.equals(expected, answer.body())) {
            wrong.incrementAndGet();
            log("request " + id + ": WRONG success with receipt " + answer.header("magnoliavane-response-signature")
                    + ", Content-Encoding " + answer.header("content-encoding") + ": " + answer.body().length
                    + " bytes, the worker wrote " + expected.length);
        }
    }
}
