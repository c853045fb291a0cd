package org.magnoliavane.balance;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds what workers have announced about themselves in their answers: that they leave, or that they want no requests for some
 * time. An announcement applies to one start of a worker, whatever the service discovery lists, and ends with a newer start.
 *
 * <p>Thread-safe.
 */
public final class WorkerNotices {
    /** Time without another announcement after which a worker that announced its leaving has ended. */
    static final long LEAVING_RETENTION_MILLIS = 3_600_000;

    /** Longest time for which an answer can close a worker; limited because a faulty worker may state any time. */
    static final long MAX_CLOSED_MILLIS = 300_000;

    private final Map<String, Closed> closed = new ConcurrentHashMap<>();
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
     * Closes a worker that turned a request away and wants no others for some time. The longest time applies.
     *
     * @param worker the worker as it was listed when the request was sent to it
     * @param closedMillis the time that the worker stated, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the time until which the worker is closed, in milliseconds; empty if it was already closed for as long
     */
    public OptionalLong close(ListedWorker worker, long closedMillis, long nowMillis) {
        closed.values().removeIf(c -> c.untilMillis <= nowMillis);
        Closed latest = new Closed(worker, nowMillis + Math.min(closedMillis, MAX_CLOSED_MILLIS));
        Closed applied = closed.merge(worker.id(), latest, Closed::longest);
        return applied == latest && closedMillis > 0 ? OptionalLong.of(latest.untilMillis) : OptionalLong.empty();
    }

    /**
     * Returns whether a worker is closed.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return true if this start of the worker wants no requests yet
     */
    public boolean isClosed(ListedWorker worker, long nowMillis) {
        return getClosedMillis(worker, nowMillis) > 0;
    }

    /**
     * Gets the time for which a worker is still closed.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds; 0 if it is open
     */
    public long getClosedMillis(ListedWorker worker, long nowMillis) {
        Closed known = closed.get(worker.id());
        return known == null || isRestarted(known.worker, worker) ? 0 : Math.max(0, known.untilMillis - nowMillis);
    }

    /**
     * Finds the time after which the first of some workers is open, if all that do not leave are closed.
     *
     * @param workers the workers
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds; empty if a worker is open, or all of them leave
     */
    public OptionalLong findAllClosedMillis(Collection<ListedWorker> workers, long nowMillis) {
        return workers.stream()
                .filter(w -> !w.server().leaving() && !isLeaving(w, nowMillis))
                .mapToLong(w -> getClosedMillis(w, nowMillis))
                .min()
                .stream()
                .filter(millis -> millis > 0)
                .findFirst();
    }

    /**
     * Returns whether a worker may get requests.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return false if it leaves or is closed
     */
    public boolean isUsable(ListedWorker worker, long nowMillis) {
        return !isLeaving(worker, nowMillis) && !isClosed(worker, nowMillis);
    }

    /** Returns whether a worker has restarted since an earlier listing; workers that list no start time, by their address. */
    private static boolean isRestarted(ListedWorker earlier, ListedWorker worker) {
        return worker.startedAtMillis() > earlier.startedAtMillis()
                || worker.startedAtMillis() == 0
                        && earlier.startedAtMillis() == 0
                        && !worker.isSameIncarnation(earlier);
    }

    private record Closed(ListedWorker worker, long untilMillis) {
        static Closed longest(Closed before, Closed latest) {
            if (isRestarted(latest.worker, before.worker)) {
                return before;
            }
            boolean isLonger = latest.untilMillis > before.untilMillis || isRestarted(before.worker, latest.worker);
            return isLonger ? latest : before;
        }
    }

    private record Leaving(ListedWorker worker, long atMillis) {}
}
