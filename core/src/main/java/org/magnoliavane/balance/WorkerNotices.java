package org.magnoliavane.balance;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds what workers have announced about themselves in their answers: that they leave. An announcement applies to one start
 * of a worker, whatever the service discovery lists, and ends with a newer start.
 *
 * <p>Thread-safe.
 */
public final class WorkerNotices {
    /** Time without another announcement after which a worker that announced its leaving has ended. */
    static final long LEAVING_RETENTION_MILLIS = 3_600_000;

    private final Map<String, Leaving> leaving = new ConcurrentHashMap<>();

    /**
     * Records that a worker has announced its leaving.
     *
     * @param worker the worker as it was listed when the request was sent to it
     * @param nowMillis the current time, in milliseconds
     * @return true if this was not known of this start of the worker
     */
    public boolean recordLeaving(ListedWorker worker, long nowMillis) {
        leaving.values().removeIf(l -> nowMillis - l.atMillis >= LEAVING_RETENTION_MILLIS);
        Leaving announced = new Leaving(worker, nowMillis);
        Leaving before = leaving.get(worker.id());
        leaving.merge(worker.id(), announced, (old, latest) -> isRestarted(latest.worker, old.worker) ? old : latest);
        return before == null || isRestarted(before.worker, worker);
    }

    /**
     * Returns whether a worker has announced its leaving.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return true if this start of the worker, or a later one, has announced it
     */
    public boolean isLeaving(ListedWorker worker, long nowMillis) {
        Leaving announced = leaving.get(worker.id());
        return announced != null
                && nowMillis - announced.atMillis < LEAVING_RETENTION_MILLIS
                && !isRestarted(announced.worker, worker);
    }

    /**
     * Returns whether a worker may get requests.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return false if it leaves
     */
    public boolean isUsable(ListedWorker worker, long nowMillis) {
        return !isLeaving(worker, nowMillis);
    }

    /** Returns whether a worker has restarted since an earlier listing; workers that list no start time, by their address. */
    private static boolean isRestarted(ListedWorker earlier, ListedWorker worker) {
        return worker.startedAtMillis() > earlier.startedAtMillis()
                || worker.startedAtMillis() == 0
                        && earlier.startedAtMillis() == 0
                        && !worker.isSameIncarnation(earlier);
    }

    private record Leaving(ListedWorker worker, long atMillis) {}
}
