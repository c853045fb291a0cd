package org.magnoliavane.balance;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import org.magnoliavane.routing.EngineProfile;

/**
 * Estimates how long a new request waits for memory: the tokens that wait ahead of it at all nodes, divided by the rate at
 * which the workers of the service free tokens. By Little's law that rate is the memory of the workers divided by the mean
 * time for which a token stays reserved, which each node measures from its own requests.
 *
 * <p>Thread-safe.
 */
public final class AdmissionForecast {
    /** Age from which the report of another node is ignored. Reports come every second in a fleet of 66 nodes. */
    private static final long REPORT_MAX_AGE_MILLIS = 1500;

    /** Number of measured reservations below which there is no estimate. */
    private static final int MIN_SAMPLES = 8;

    /** Weight of the latest reservation in the means. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** Share of the grants that goes to the oldest request whatever its urgency. */
    private static final double OLDEST_SHARE = 1.0 / ReservationTable.GRANTS_PER_OLDEST;

    /** Factor by which waits are underestimated, since more urgent requests that arrive later precede. */
    private static final double WAIT_MARGIN = 2;

    /** Smallest time after which the caller of a refused request may retry; shorter ones would only add load. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    /** Largest time after which the caller of a refused request may retry; an estimate is not trusted for longer. */
    private static final long MAX_RETRY_AFTER_MILLIS = 2500;

    /** Callers wait for at most this share of their remaining time before they retry, and give up otherwise. */
    static final double MAX_WAIT_SHARE = 1 / 3.0;

    /** Relative width of the random spread of the times after which callers retry. */
    private static final double JITTER = 0.5;

    private final Map<String, PeerBacklogs> peers = new ConcurrentHashMap<>();
    private final Map<String, Means> means = new ConcurrentHashMap<>();

    /**
     * Records the end of a reservation of this node.
     *
     * @param service the name of the service
     * @param tokens the reserved tokens
     * @param millis the time for which they were reserved, in milliseconds
     */
    public void recordReservation(String service, int tokens, long millis) {
        if (tokens > 0) {
            means.merge(service, new Means(1, tokens, (double) tokens * millis), Means::withSample);
        }
    }

    /**
     * Replaces the backlogs that another node has reported.
     *
     * @param node the name of the node
     * @param backlogs the requests that wait at the node
     * @param nowMillis the current time, in milliseconds
     */
    public void updatePeer(String node, Collection<Backlog> backlogs, long nowMillis) {
        if (backlogs.isEmpty()) {
            peers.remove(node);
        } else {
            peers.put(node, new PeerBacklogs(backlogs, nowMillis));
        }
    }

    /**
     * Estimates how long a new request waits.
     *
     * @param service the name of the service
     * @param urgency the urgency of the request
     * @param own the backlogs of this node
     * @param engine the profile of the engines of the service
     * @param workers the number of workers that decode
     * @param nowMillis the current time, in milliseconds
     * @return the expected wait, in milliseconds; empty if nothing is known of the rate
     */
    public OptionalLong estimateWaitMillis(
            String service, int urgency, Collection<Backlog> own, EngineProfile engine, int workers, long nowMillis) {
        Means mean = means.get(service);
        if (mean == null || mean.samples < MIN_SAMPLES || workers == 0) {
            return OptionalLong.empty();
        }
        double ahead = 0;
        double behind = 0;
        for (Backlog backlog : getBacklogs(service, own, nowMillis)) {
            ahead += backlog.urgency() <= urgency ? backlog.tokens() : 0;
            behind += backlog.urgency() <= urgency ? 0 : backlog.tokens();
        }
        double rate = workers * mean.getTokensPerMilli(engine);
        double byUrgency = ahead / (behind > 0 ? rate * (1 - OLDEST_SHARE) : rate);
        double byAge = (ahead + behind) / (rate * OLDEST_SHARE);
        return OptionalLong.of((long) Math.min(byUrgency, byAge));
    }

    /**
     * Counts the requests that wait at all nodes, as far as known.
     *
     * @param service the name of the service
     * @param own the backlogs of this node
     * @param nowMillis the current time, in milliseconds
     * @return the number of requests
     */
    public int countWaiting(String service, Collection<Backlog> own, long nowMillis) {
        return getBacklogs(service, own, nowMillis).stream()
                .mapToInt(Backlog::requests)
                .sum();
    }

    private Collection<Backlog> getBacklogs(String service, Collection<Backlog> own, long nowMillis) {
        Stream<Backlog> others = peers.values().stream()
                .filter(p -> nowMillis - p.atMillis < REPORT_MAX_AGE_MILLIS)
                .flatMap(p -> p.backlogs.stream());
        return Stream.concat(own.stream(), others)
                .filter(b -> b.service().equals(service))
                .toList();
    }

    /**
     * Returns whether a request cannot be expected to start in time.
     *
     * @param waitMillis the expected wait, in milliseconds
     * @param latestStartInMillis the time until its latest start, in milliseconds
     * @return true if it should be refused at once
     */
    public static boolean isHopeless(long waitMillis, long latestStartInMillis) {
        return WAIT_MARGIN * waitMillis > latestStartInMillis;
    }

    /**
     * Computes the time after which the caller of a refused request may retry: when it can be expected to be admitted, but
     * early enough that the caller waits for it.
     *
     * @param waitMillis the expected wait, in milliseconds
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param random a random number between 0 and 1, which spreads the retries
     * @return the time in milliseconds
     */
    public static long computeRetryAfterMillis(long waitMillis, long remainingMillis, double random) {
        double spread = waitMillis * (1 - JITTER / 2 + JITTER * random);
        // The cap is spread as well, since the waits of a burst all exceed it.
        double cap = Math.min(MAX_RETRY_AFTER_MILLIS, MAX_WAIT_SHARE * remainingMillis) * (1 - JITTER * random);
        return (long) Math.max(MIN_RETRY_AFTER_MILLIS * (1 + random), Math.min(spread, cap));
    }

    private record PeerBacklogs(Collection<Backlog> backlogs, long atMillis) {}

    /** Means over the latest reservations of a service. */
    private record Means(int samples, double tokens, double tokenMillis) {
        Means withSample(Means sample) {
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (samples + 1));
            return new Means(
                    samples + 1,
                    tokens + weight * (sample.tokens - tokens),
                    tokenMillis + weight * (sample.tokenMillis - tokenMillis));
        }

        /** Gets the tokens that a full worker frees per millisecond; only whole requests fit into it. */
        double getTokensPerMilli(EngineProfile engine) {
            double requests = Math.max(1, Math.floor(engine.getUsableTokens() / tokens));
            double usedTokens = Math.min(engine.slots(), requests) * tokens;
            return usedTokens / Math.max(1, tokenMillis / tokens);
        }
    }
}
