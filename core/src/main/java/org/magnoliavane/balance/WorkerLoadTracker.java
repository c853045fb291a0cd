package org.magnoliavane.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.ToDoubleFunction;

/**
 * What this node knows of the load and the health of each worker: what it sent itself, what the other nodes say they
 * sent, and how the sends ended.
 *
 * <p>Thread-safe.
 */
public final class WorkerLoadTracker {
    /** Weight of the newest outcome in the failure rate. */
    private static final double OUTCOME_WEIGHT = 0.3;

    /** Time in which a failure rate halves when nothing is sent, so that an avoided worker gets another try. */
    private static final double RATE_HALF_LIFE_MILLIS = 4000;

    /** Age at which the report of another node is no longer used; several of its intervals. */
    private static final long PEER_REPORT_MAX_AGE_MILLIS = 2000;

    /** Failure rate above which a worker gets work only when there is no better one. */
    private static final double UNHEALTHY_RATE = 0.45;

    private final Runnable onChange;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final Map<String, PeerReport> peers = new ConcurrentHashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param onChange called when this node has taken or given back tokens at a worker
     */
    public WorkerLoadTracker(Runnable onChange) {
        this.onChange = onChange;
    }

    /**
     * Takes a send into account.
     *
     * @param worker the id of the worker
     * @param tokens the tokens that the send occupies; 0 for plain services
     */
    public void start(String worker, int tokens) {
        Entry entry = entry(worker);
        entry.requests.incrementAndGet();
        entry.tokens.addAndGet(tokens);
        signal(tokens);
    }

    /**
     * Takes the end of a send into account.
     *
     * @param worker the id of the worker
     * @param tokens the tokens that were passed to {@link #start}
     */
    public void end(String worker, int tokens) {
        Entry entry = entry(worker);
        entry.requests.decrementAndGet();
        entry.tokens.addAndGet(-tokens);
        signal(tokens);
    }

    private void signal(int tokens) {
        if (tokens > 0) {
            onChange.run();
        }
    }

    /**
     * Takes the outcome of a send.
     *
     * @param worker the id of the worker
     * @param failure 0 for a success, 1 for a failure that the worker caused, or a value between
     * @param nowMillis the current time
     */
    public void outcome(String worker, double failure, long nowMillis) {
        entry(worker).health.updateAndGet(h -> h.next(failure, nowMillis));
    }

    /**
     * Avoids a worker for a while.
     *
     * @param worker the id of the worker
     * @param untilMillis the time until which it gets work only when there is no other
     */
    public void suspend(String worker, long untilMillis) {
        entry(worker).suspendedUntilMillis.accumulateAndGet(untilMillis, Math::max);
    }

    /**
     * Avoids a worker because another node says that it is changing its role. Only the next reports keep this up: the other
     * node may see the end of the change later than this one.
     *
     * @param worker the id of the worker
     * @param leftMillis the time that the change may still take
     * @param nowMillis the current time
     */
    public void suspendByPeerReport(String worker, long leftMillis, long nowMillis) {
        suspend(worker, nowMillis + Math.min(leftMillis, PEER_REPORT_MAX_AGE_MILLIS));
    }

    /**
     * Ends the time for which a worker was to be avoided.
     *
     * @param worker the id of the worker
     */
    public void resume(String worker) {
        entry(worker).suspendedUntilMillis.set(0);
    }

    /**
     * Takes note that a worker has refused a request for lack of room, whatever the sum of the sends says.
     *
     * @param worker the id of the worker
     * @param untilMillis the time until which it counts as full
     */
    public void markFull(String worker, long untilMillis) {
        entry(worker).fullUntilMillis.accumulateAndGet(untilMillis, Math::max);
    }

    /**
     * Says whether a worker has refused a request for lack of room a moment ago.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return true while it counts as full
     */
    public boolean isFull(String worker, long nowMillis) {
        return entry(worker).fullUntilMillis.get() > nowMillis;
    }

    /**
     * Forgets a worker that is gone or has started anew.
     *
     * @param worker the id of the worker
     */
    public void resetHealth(String worker) {
        Entry entry = entries.get(worker);
        if (entry != null) {
            entry.health.set(Health.GOOD);
            entry.suspendedUntilMillis.set(0);
        }
    }

    /**
     * Takes the report of another node.
     *
     * @param node the name of the node
     * @param loads what it has sent, by worker
     * @param nowMillis the current time
     */
    public void updatePeerLoads(String node, Map<String, Load> loads, long nowMillis) {
        peers.put(node, new PeerReport(Map.copyOf(loads), nowMillis));
    }

    /**
     * Gets what this node has in work.
     *
     * @param nowMillis the current time
     * @return the loads of all workers that are busy or unhealthy
     */
    public Map<String, Load> getOwnLoads(long nowMillis) {
        Map<String, Load> loads = new HashMap<>();
        entries.forEach((worker, entry) -> {
            double rate = entry.health.get().rateAt(nowMillis);
            Load load = new Load(entry.requests.get(), entry.tokens.get(), rate);
            if (load.requests() > 0 || rate > 0.05) {
                loads.put(worker, load);
            }
        });
        return loads;
    }

    /**
     * Counts the requests in work at a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return the requests of all nodes, as far as known
     */
    public int countRequests(String worker, long nowMillis) {
        return Math.max(0, entry(worker).requests.get() + (int) sumOfPeers(worker, nowMillis, Load::requests));
    }

    /**
     * Counts the tokens in work at a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return the tokens of all nodes, as far as known
     */
    public int countTokens(String worker, long nowMillis) {
        return Math.max(0, entry(worker).tokens.get() + (int) sumOfPeers(worker, nowMillis, Load::tokens));
    }

    /**
     * Gets the failure rate of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return the recent share of failures, from 0 to 1, the highest that a node has seen
     */
    public double getFailureRate(String worker, long nowMillis) {
        double rate = entry(worker).health.get().rateAt(nowMillis);
        for (PeerReport report : peers.values()) {
            Load load = report.loads.get(worker);
            if (load != null && nowMillis - report.atMillis < PEER_REPORT_MAX_AGE_MILLIS) {
                rate = Math.max(rate, load.failureRate());
            }
        }
        return rate;
    }

    /**
     * Says whether a worker should be avoided.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return true while it is suspended or fails too often
     */
    public boolean isUnhealthy(String worker, long nowMillis) {
        return entry(worker).suspendedUntilMillis.get() > nowMillis
                || getFailureRate(worker, nowMillis) > UNHEALTHY_RATE;
    }

    private double sumOfPeers(String worker, long nowMillis, ToDoubleFunction<Load> part) {
        double sum = 0;
        for (PeerReport report : peers.values()) {
            Load load = report.loads.get(worker);
            if (load != null && nowMillis - report.atMillis < PEER_REPORT_MAX_AGE_MILLIS) {
                sum += part.applyAsDouble(load);
            }
        }
        return sum;
    }

    private Entry entry(String worker) {
        return entries.computeIfAbsent(worker, w -> new Entry());
    }

    /**
     * What one node has in work at one worker.
     *
     * @param requests the number of requests
     * @param tokens the tokens that they occupy
     * @param failureRate the recent share of failures, from 0 to 1
     */
    public record Load(int requests, int tokens, double failureRate) {}

    private record PeerReport(Map<String, Load> loads, long atMillis) {}

    private record Health(double rate, long atMillis) {
        static final Health GOOD = new Health(0, 0);

        Health next(double failure, long nowMillis) {
            double current = rateAt(nowMillis);
            return new Health(current + OUTCOME_WEIGHT * (failure - current), nowMillis);
        }

        double rateAt(long nowMillis) {
            return rate == 0 ? 0 : rate * Math.pow(0.5, (nowMillis - atMillis) / RATE_HALF_LIFE_MILLIS);
        }
    }

    private static final class Entry {
        final AtomicInteger requests = new AtomicInteger();
        final AtomicInteger tokens = new AtomicInteger();
        final AtomicReference<Health> health = new AtomicReference<>(Health.GOOD);
        final AtomicLong suspendedUntilMillis = new AtomicLong();
        final AtomicLong fullUntilMillis = new AtomicLong();
    }
}
