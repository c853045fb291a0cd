package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.ConnectResult;
import org.magnoliavane.http.HttpClient;

/**
 * Finds out whether the process of a worker has ended when a connection to it breaks, since a connection may also be reset
 * while the worker goes on.
 *
 * <p>Thread-safe.
 */
public final class WorkerEndDetector {
    private static final Logger LOG = System.getLogger(WorkerEndDetector.class.getName());

    /**
     * Time for which the result of a check holds. The connections that break with a worker do so within a few
     * milliseconds, and a worker needs longer than that to start again.
     */
    private static final long RESULT_MILLIS = 300;

    /**
     * Time for which the connection of a check is kept open after a response that may have ended with its worker. A process that
     * is killed closes its sockets one after the other; the host accepts connections until the port is closed.
     */
    private static final long HELD_MILLIS = 30;

    private final HttpClient client;
    private final ScheduledExecutorService timers;
    private final Map<String, CompletableFuture<Boolean>> checks = new ConcurrentHashMap<>();

    /**
     * Creates a detector.
     *
     * @param client connects to the workers
     * @param timers removes old results
     */
    public WorkerEndDetector(HttpClient client, ScheduledExecutorService timers) {
        this.client = client;
        this.timers = timers;
    }

    /** Gets the id of one start of a worker, which several nodes use for the same crash. */
    static String getProcessId(ListedWorker worker) {
        return worker.id() + "@" + worker.startedAtMillis();
    }

    /**
     * Checks a worker to which a connection has broken.
     *
     * @param closedByWorker whether the worker's host closed or reset the connection. The host can be reached then, so a
     *     worker that does not respond has ended; otherwise this node may be disconnected, and only a refusal counts
     * @return a future of true if the process of the worker has ended
     */
    CompletableFuture<Boolean> checkEnded(ListedWorker worker, boolean closedByWorker) {
        String process = getProcessId(worker);
        return checks.computeIfAbsent(process, p -> start(worker, process, closedByWorker));
    }

    /**
     * Checks a worker that has closed the connection of a response that has no other end. The host of a process that is killed
     * closes its connections in the same way.
     *
     * @return a future of true if the process of the worker has ended, so that the response may be incomplete
     */
    CompletableFuture<Boolean> checkEndedWithResponse(ListedWorker worker) {
        String process = getProcessId(worker);
        CompletableFuture<Boolean> known = checks.get(process);
        if (known != null && known.getNow(false)) {
            return known;
        }
        // A worker that ran at an earlier check may have ended since.
        String host = worker.server().host();
        int port = worker.server().port();
        CompletableFuture<Boolean> check = client.check(host, port, HELD_MILLIS)
                // A worker that has too many connections closes a new one as well.
                .thenCompose(r ->
                        r == ConnectResult.CLOSED ? client.check(host, port) : CompletableFuture.completedFuture(r))
                .thenApply(r -> isEnded(process, r, true));
        check.thenAccept(ended -> {
            if (ended) {
                checks.put(process, check);
                removeLater(process);
            }
        });
        return check;
    }

    private CompletableFuture<Boolean> start(ListedWorker worker, String process, boolean closedByWorker) {
        removeLater(process);
        return connect(worker, process, closedByWorker);
    }

    private void removeLater(String process) {
        timers.schedule(() -> checks.remove(process), RESULT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Boolean> connect(ListedWorker worker, String process, boolean closedByWorker) {
        return client.check(worker.server().host(), worker.server().port())
                .thenApply(r -> isEnded(process, r, closedByWorker));
    }

    private static boolean isEnded(String process, ConnectResult result, boolean closedByWorker) {
        boolean ended = result == ConnectResult.REFUSED || closedByWorker && result == ConnectResult.NO_RESPONSE;
        LOG.log(Level.INFO, "event=worker_checked worker={0} ended={1} connect={2}", process, ended, result);
        return ended;
    }
}
