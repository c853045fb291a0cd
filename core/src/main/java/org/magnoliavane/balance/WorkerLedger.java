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
public final class WorkerLedger {
    /** Weight of the newest outcome in the failure rate. */
    private static final double OUTCOME_WEIGHT = 0.3;

    /** Time in which a failure rate halves when nothing is sent, so that an avoided worker gets another try. */
    private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 4000;

    /** Age at which the report of another node is no longer used; several of its intervals. */
    private static final long PEER_REPORT_MAX_AGE_MILLIS = 2000;

    /** Failure rate above which a worker gets work only when there is no better one. */
    private static final double MAX_HEALTHY_FAILURE_RATE = 0.45;

    private final Runnable onChange;
    private final Map<String, WorkerState> states = new ConcurrentHashMap<>();
    private final Map<String, PeerReport> peerReports = new ConcurrentHashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param onChange called when this node has taken or given back tokens at a worker
     */
    public WorkerLedger(Runnable onChange) {
        this.onChange = onChange;
    }

    /**
     * Takes a send into account.
     *
     * @param worker the id of the worker
     * @param tokens the tokens that the send occupies; 0 for plain services
     */
    public void recordStart(String worker, int tokens) {
        WorkerState entry = getState(worker);
        entry.requests.incrementAndGet();
        entry.tokens.addAndGet(tokens);
        notifyIfTokensChanged(tokens);
    }

    /**
     * Takes the end of a send into account.
     *
     * @param worker the id of the worker
     * @param tokens the tokens that were passed to {@link #recordStart}
     */
    public void recordEnd(String worker, int tokens) {
        WorkerState entry = getState(worker);
        entry.requests.decrementAndGet();
        entry.tokens.addAndGet(-tokens);
        notifyIfTokensChanged(tokens);
    }

    private void notifyIfTokensChanged(int tokens) {
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
    public void recordOutcome(String worker, double failure, long nowMillis) {
        getState(worker).health.updateAndGet(h -> h.withOutcome(failure, nowMillis));
    }

    /**
     * Avoids a worker for a while.
     *
     * @param worker the id of the worker
     * @param untilMillis the time until which it gets work only when there is no other
     */
    public void suspend(String worker, long untilMillis) {
        getState(worker).suspendedUntilMillis.accumulateAndGet(untilMillis, Math::max);
    }

    /**
     * Avoids a worker because another node says that it is changing its role. Only the next reports keep this up: the other
     * node may see the end of the change later than this one.
     *
     * @param worker the id of the worker
     * @param leftMillis the time that the change may still take
     * @param nowMillis the current time
     */
    public void suspendByReport(String worker, long leftMillis, long nowMillis) {
        suspend(worker, nowMillis + Math.min(leftMillis, PEER_REPORT_MAX_AGE_MILLIS));
    }

    /**
     * Ends the time for which a worker was to be avoided.
     *
     * @param worker the id of the worker
     */
    public void resume(String worker) {
        getState(worker).suspendedUntilMillis.set(0);
    }

    /**
     * Takes note that a worker has refused a request for lack of room, whatever the sum of the sends says.
     *
     * @param worker the id of the worker
     * @param untilMillis the time until which it counts as full
     */
    public void markFull(String worker, long untilMillis) {
        getState(worker).fullUntilMillis.accumulateAndGet(untilMillis, Math::max);
    }

    /**
     * Says whether a worker has refused a request for lack of room a moment ago.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return true while it counts as full
     */
    public boolean isFull(String worker, long nowMillis) {
        return getState(worker).fullUntilMillis.get() > nowMillis;
    }

    /**
     * Forgets a worker that is gone or has started anew.
     *
     * @param worker the id of the worker
     */
    public void forgetHealth(String worker) {
        WorkerState entry = states.get(worker);
        if (entry != null) {
            entry.health.set(Health.HEALTHY);
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
    public void reportFrom(String node, Map<String, Load> loads, long nowMillis) {
        peerReports.put(node, new PeerReport(Map.copyOf(loads), nowMillis));
    }

    /**
     * Gets what this node has in work.
     *
     * @param nowMillis the current time
     * @return the loads of all workers that are busy or unhealthy
     */
    public Map<String, Load> getOwnLoads(long nowMillis) {
        Map<String, Load> loads = new HashMap<>();
        states.forEach((worker, entry) -> {
            double rate = entry.health.get().getRate(nowMillis);
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
        return Math.max(0, getState(worker).requests.get() + (int) sumPeerLoads(worker, nowMillis, Load::requests));
    }

    /**
     * Counts the tokens in work at a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return the tokens of all nodes, as far as known
     */
    public int countTokens(String worker, long nowMillis) {
        return Math.max(0, getState(worker).tokens.get() + (int) sumPeerLoads(worker, nowMillis, Load::tokens));
    }

    /**
     * Gets the failure rate of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return the recent share of failures, from 0 to 1, the highest that a node has seen
     */
    public double getFailureRate(String worker, long nowMillis) {
        double rate = getState(worker).health.get().getRate(nowMillis);
        for (PeerReport report : peerReports.values()) {
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
    public boolean isAvoided(String worker, long nowMillis) {
        return getState(worker).suspendedUntilMillis.get() > nowMillis
                || getFailureRate(worker, nowMillis) > MAX_HEALTHY_FAILURE_RATE;
    }

    private double sumPeerLoads(String worker, long nowMillis, ToDoubleFunction<Load> part) {
        double sum = 0;
        for (PeerReport report : peerReports.values()) {
            Load load = report.loads.get(worker);
            if (load != null && nowMillis - report.atMillis < PEER_REPORT_MAX_AGE_MILLIS) {
                sum += part.applyAsDouble(load);
            }
        }
        return sum;
    }

    private WorkerState getState(String worker) {
        return states.computeIfAbsent(worker, w -> new WorkerState());
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
        static final Health HEALTHY = new Health(0, 0);

        Health withOutcome(double failure, long nowMillis) {
            double current = getRate(nowMillis);
            return new Health(current + OUTCOME_WEIGHT * (failure - current), nowMillis);
        }

        double getRate(long nowMillis) {
            return rate == 0 ? 0 : rate * Math.pow(0.5, (nowMillis - atMillis) / FAILURE_RATE_HALF_LIFE_MILLIS);
        }
    }

    private static final class WorkerState {
        final AtomicInteger requests = new AtomicInteger();
        final AtomicInteger tokens = new AtomicInteger();
        final AtomicReference<Health> health = new AtomicReference<>(Health.HEALTHY);
        final AtomicLong suspendedUntilMillis = new AtomicLong();
        final AtomicLong fullUntilMillis = new AtomicLong();
    }
}
