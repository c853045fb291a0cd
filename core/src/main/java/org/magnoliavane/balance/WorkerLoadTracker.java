package org.magnoliavane.balance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToDoubleFunction;

import org.magnoliavane.routing.EngineProfile;

/**
 * Tracks the load and the health of each worker: the active requests of this node, the active requests that other nodes
 * report, and the outcomes of past exchanges.
 *
 * <p>Thread-safe.
 */
public final class WorkerLoadTracker {
    /** Weight of the latest outcome in the failure rate. */
    private static final double OUTCOME_WEIGHT = 0.3;

    /** Half-life of a failure rate without new outcomes, so that an unhealthy worker is tried again. */
    private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 4000;

    /** Age at which the report of another node is ignored; several report intervals. */
    private static final long PEER_REPORT_MAX_AGE_MILLIS = 2000;

    /** Failure rate above which a worker gets requests only if no worker is healthy. */
    private static final double MAX_HEALTHY_FAILURE_RATE = 0.45;

    private final Runnable onChange;
    private final WorkerNotices notices = new WorkerNotices();
    private final WorkerSpeeds speeds = new WorkerSpeeds();
    private final Map<String, WorkerState> states = new ConcurrentHashMap<>();
    private final Map<String, PeerReport> peerReports = new ConcurrentHashMap<>();

    /** What other nodes have reported, by worker and node: a choice asks about all workers, each of which few nodes use. */
    private final Map<String, Map<String, PeerLoad>> peerLoads = new ConcurrentHashMap<>();

    /**
     * Creates a tracker without workers.
     *
     * @param onChange called when the number of tokens that this node uses at a worker has changed
     */
    public WorkerLoadTracker(Runnable onChange) {
        this.onChange = onChange;
    }

    /**
     * Gets what the workers have announced about themselves.
     *
     * @return the announcements
     */
    public WorkerNotices getNotices() {
        return notices;
    }

    /**
     * Gets the measured speeds of the workers.
     *
     * @return the speeds
     */
    public WorkerSpeeds getSpeeds() {
        return speeds;
    }

    /**
     * Records the start of an exchange with a worker.
     *
     * @param worker the id of the worker
     * @param tokens the number of tokens that the request occupies; 0 for plain services
     */
    public void recordStart(String worker, int tokens) {
        WorkerState state = getState(worker);
        state.requests.incrementAndGet();
        state.tokens.addAndGet(tokens);
        notifyIfTokensChanged(tokens);
    }

    /**
     * Records the end of an exchange with a worker.
     *
     * @param worker the id of the worker
     * @param tokens the number of tokens that was passed to {@link #recordStart}
     */
    public void recordEnd(String worker, int tokens) {
        WorkerState state = getState(worker);
        state.requests.decrementAndGet();
        state.tokens.addAndGet(-tokens);
        notifyIfTokensChanged(tokens);
    }

    private void notifyIfTokensChanged(int tokens) {
        if (tokens > 0) {
            onChange.run();
        }
    }

    /**
     * Records the outcome of an exchange.
     *
     * @param worker the id of the worker
     * @param failure 0 for a success, 1 for a failure that the worker caused, or a value in between
     * @param nowMillis the current time, in milliseconds
     */
    public void recordOutcome(String worker, double failure, long nowMillis) {
        getState(worker).health.updateAndGet(h -> h.withOutcome(failure, nowMillis));
    }

    /**
     * Suspends a worker. The longest suspension applies.
     *
     * @param worker the id of the worker
     * @param untilMillis the time until which the worker gets requests only if no worker is healthy, in milliseconds
     */
    public void suspend(String worker, long untilMillis) {
        getState(worker).suspendedUntilMillis.accumulateAndGet(untilMillis, Math::max);
    }

    /**
     * Suspends a worker that another node reports as changing its role. The suspension lasts at most as long as a report is
     * valid and is extended by later reports, because the other node may see the end of the change later than this node.
     *
     * @param worker the id of the worker
     * @param remainingMillis the time that the change may still take, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void suspendByPeerReport(String worker, long remainingMillis, long nowMillis) {
        suspend(worker, nowMillis + Math.min(remainingMillis, PEER_REPORT_MAX_AGE_MILLIS));
    }

    /**
     * Ends the suspension of a worker.
     *
     * @param worker the id of the worker
     */
    public void resume(String worker) {
        getState(worker).suspendedUntilMillis.set(0);
    }

    /**
     * Marks a worker as full because it refused a request for lack of capacity, whatever load is known of it.
     *
     * @param worker the id of the worker
     * @param untilMillis the time until which the worker counts as full, in milliseconds
     */
    public void markFull(String worker, long untilMillis) {
        getState(worker).fullUntilMillis.accumulateAndGet(untilMillis, Math::max);
    }

    /**
     * Returns whether a worker is marked as full.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return true until the time that was passed to {@link #markFull}
     */
    public boolean isFull(String worker, long nowMillis) {
        return getState(worker).fullUntilMillis.get() > nowMillis;
    }

    /**
     * Resets the failure rate and the suspension of a worker that has disappeared or restarted.
     *
     * @param worker the id of the worker
     */
    public void resetHealth(String worker) {
        WorkerState state = states.get(worker);
        if (state != null) {
            state.health.set(Health.HEALTHY);
            state.suspendedUntilMillis.set(0);
        }
    }

    /**
     * Replaces the loads that another node has reported.
     *
     * @param node the name of the node
     * @param loads the load that the node causes, by worker id
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void updatePeerLoads(String node, Map<String, Load> loads, long nowMillis) {
        PeerReport before = peerReports.put(node, new PeerReport(Set.copyOf(loads.keySet()), nowMillis));
        if (loads.isEmpty() && (before == null || before.workers.isEmpty())) {
            return;
        }
        loads.forEach((worker, load) -> peerLoads
                .computeIfAbsent(worker, w -> new ConcurrentHashMap<>())
                .put(node, new PeerLoad(load, nowMillis)));
        if (before != null) {
            before.workers.stream()
                    .filter(worker -> !loads.containsKey(worker))
                    .forEach(worker -> peerLoads.get(worker).remove(node));
        }
    }

    /**
     * Gets the load that this node causes.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the loads by worker id, of all workers with active requests or recent failures
     */
    public Map<String, Load> getOwnLoads(long nowMillis) {
        Map<String, Load> loads = new HashMap<>();
        states.forEach((worker, state) -> {
            double rate = state.health.get().getRate(nowMillis);
            Load load = new Load(state.requests.get(), state.tokens.get(), rate);
            if (load.requests() > 0 || rate > 0.05) {
                loads.put(worker, load);
            }
        });
        return loads;
    }

    /**
     * Counts the active requests of this node at a worker.
     *
     * @param worker the id of the worker
     * @return the number of requests
     */
    public int countOwnRequests(String worker) {
        return getState(worker).requests.get();
    }

    /**
     * Counts the tokens of the active requests of this node at a worker.
     *
     * @param worker the id of the worker
     * @return the number of tokens
     */
    public int countOwnTokens(String worker) {
        return getState(worker).tokens.get();
    }

    /**
     * Gets the load that other nodes have reported of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the sum of the current reports
     */
    public ReportedLoad getReportedLoad(String worker, long nowMillis) {
        OptionalLong newestMillis = getPeerLoads(worker).stream()
                .filter(p -> isCurrent(p.atMillis, nowMillis))
                .mapToLong(p -> p.atMillis)
                .max();
        return new ReportedLoad(
                (int) sumPeerLoads(worker, nowMillis, Load::requests),
                (int) sumPeerLoads(worker, nowMillis, Load::tokens),
                newestMillis.isPresent()
                        ? OptionalLong.of(nowMillis - newestMillis.getAsLong())
                        : OptionalLong.empty());
    }

    /**
     * Gets the time for which a worker is still suspended.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds; 0 if it is not suspended
     */
    public long getSuspendedMillis(String worker, long nowMillis) {
        return Math.max(0, getState(worker).suspendedUntilMillis.get() - nowMillis);
    }

    /**
     * Counts the active requests at a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the number of requests of all nodes, as far as known
     */
    public int countRequests(String worker, long nowMillis) {
        return Math.max(0, getState(worker).requests.get() + (int) sumPeerLoads(worker, nowMillis, Load::requests));
    }

    /**
     * Counts the tokens of the active requests at a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the number of tokens of all nodes, as far as known
     */
    public int countTokens(String worker, long nowMillis) {
        return Math.max(0, getState(worker).tokens.get() + (int) sumPeerLoads(worker, nowMillis, Load::tokens));
    }

    /**
     * Estimates the tokens of the active requests at a worker that serves each within a short time, so that much of what
     * other nodes have reported has ended since.
     *
     * @param worker the id of the worker
     * @param durationMillis the usual time for which a request is active, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the expected number of tokens of all nodes
     */
    public double estimateTokens(String worker, double durationMillis, long nowMillis) {
        return getState(worker).tokens.get() + sumRemainingLoads(worker, durationMillis, nowMillis, Load::tokens);
    }

    /**
     * Estimates the active requests at a worker that serves each within a short time, like {@link #estimateTokens}.
     *
     * @param worker the id of the worker
     * @param durationMillis the usual time for which a request is active, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the expected number of requests of all nodes
     */
    public double estimateRequests(String worker, double durationMillis, long nowMillis) {
        return getState(worker).requests.get() + sumRemainingLoads(worker, durationMillis, nowMillis, Load::requests);
    }

    private double sumRemainingLoads(
            String worker, double durationMillis, long nowMillis, ToDoubleFunction<Load> value) {
        return sumPeerLoads(worker, nowMillis, value, ageMillis -> Math.exp(-ageMillis / durationMillis));
    }

    /**
     * Counts the nodes that have reported their load lately.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the number of other nodes
     */
    public int countReportingNodes(long nowMillis) {
        int nodes = 0;
        for (PeerReport report : peerReports.values()) {
            nodes += isCurrent(report.atMillis, nowMillis) ? 1 : 0;
        }
        return nodes;
    }

    /**
     * Gets the utilization of a decode worker, which is limited by its memory or by its slots.
     *
     * @param worker the id of the worker
     * @param engine the profile of its engine
     * @param nowMillis the current time, in milliseconds
     * @return the larger share of memory and slots in use, from 0 to 1
     */
    public double getDecodeUtilization(String worker, EngineProfile engine, long nowMillis) {
        double memory = (double) countTokens(worker, nowMillis) / engine.getUsableTokens();
        double slots = (double) countRequests(worker, nowMillis) / engine.slots();
        return Math.min(1, Math.max(memory, slots));
    }

    /**
     * Gets the failure rate of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the recent share of failures, from 0 to 1; the highest rate that any node observes
     */
    public double getFailureRate(String worker, long nowMillis) {
        double rate = getState(worker).health.get().getRate(nowMillis);
        for (PeerLoad peer : getPeerLoads(worker)) {
            if (isCurrent(peer.atMillis, nowMillis)) {
                rate = Math.max(rate, peer.load.failureRate());
            }
        }
        return rate;
    }

    /**
     * Returns whether a worker is unhealthy.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return true if it is suspended or its failure rate is too high
     */
    public boolean isUnhealthy(String worker, long nowMillis) {
        return getState(worker).suspendedUntilMillis.get() > nowMillis
                || getFailureRate(worker, nowMillis) > MAX_HEALTHY_FAILURE_RATE;
    }

    private double sumPeerLoads(String worker, long nowMillis, ToDoubleFunction<Load> value) {
        return sumPeerLoads(worker, nowMillis, value, ageMillis -> 1);
    }

    /** Sums what other nodes have reported of a worker, weighted by the age of each report in milliseconds. */
    private double sumPeerLoads(
            String worker, long nowMillis, ToDoubleFunction<Load> value, DoubleUnaryOperator weight) {
        double sum = 0;
        for (PeerLoad peer : getPeerLoads(worker)) {
            if (isCurrent(peer.atMillis, nowMillis)) {
                sum += value.applyAsDouble(peer.load) * weight.applyAsDouble(nowMillis - peer.atMillis);
            }
        }
        return sum;
    }

    private Collection<PeerLoad> getPeerLoads(String worker) {
        return peerLoads.getOrDefault(worker, Map.of()).values();
    }

    private static boolean isCurrent(long atMillis, long nowMillis) {
        return nowMillis - atMillis < PEER_REPORT_MAX_AGE_MILLIS;
    }

    private WorkerState getState(String worker) {
        return states.computeIfAbsent(worker, w -> new WorkerState());
    }

    /**
     * The load that one node causes at one worker.
     *
     * @param requests the number of active requests
     * @param tokens the number of tokens that the requests occupy
     * @param failureRate the recent share of failures, from 0 to 1
     */
    public record Load(int requests, int tokens, double failureRate) {}

    /**
     * The load of a worker that other nodes have reported.
     *
     * @param requests the number of active requests
     * @param tokens the number of tokens that the requests occupy
     * @param newestAgeMillis the age of the newest report, in milliseconds; empty if no node reports the worker
     */
    public record ReportedLoad(int requests, int tokens, OptionalLong newestAgeMillis) {}

    private record PeerReport(Set<String> workers, long atMillis) {}

    private record PeerLoad(Load load, long atMillis) {}

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
