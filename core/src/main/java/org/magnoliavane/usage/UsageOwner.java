package org.magnoliavane.usage;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.magnoliavane.routing.UsageCap;

/**
 * Grants units of organisations at the node that owns them, from one token bucket for each organisation. Messages are
 * identified, so that a repeated one has no further effect.
 *
 * <p>Thread-safe.
 */
public final class UsageOwner {
    /** Longest retry time that is stated; the window of the cap, after which its whole burst is available again. */
    static final long MAX_RETRY_MILLIS = (long) (UsageUnits.WINDOW_SECONDS * 1000);

    /** Share of the burst that grants ahead leave to the requests of other nodes. */
    private static final double AHEAD_RESERVE = 0.5;

    /** Time for which messages are remembered; a node repeats a request within 40 ms. */
    private static final long REMEMBER_MILLIS = 2000;

    /** Largest number of remembered messages; bounds the memory at a node that owns organisations with high demand. */
    private static final int MAX_REMEMBERED = 2048;

    private final double startSeconds;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<MessageId, Remembered> remembered = new LinkedHashMap<>();

    /**
     * Creates an owner without state.
     *
     * @param startSeconds the use at the rate of the cap that the bucket of a new owner holds, in seconds, if that is more than the
     *     first request; two owners in a row grant at most this much more than one
     */
    public UsageOwner(double startSeconds) {
        this.startSeconds = startSeconds;
    }

    /**
     * Grants or refuses units.
     *
     * @param request the request
     * @param cap the cap of the organisation
     * @param share the share of the cap that this owner may grant: nodes that it hears of nodes listed, greater than 0
     * @param nowMillis the current time, in milliseconds
     * @return the decision; that on the first message if the request is repeated
     */
    public synchronized UsageGrant decide(UsageRequest request, UsageCap cap, double share, long nowMillis) {
        forgetOld(nowMillis);
        Remembered earlier = remembered.get(request.id());
        if (earlier != null) {
            return earlier.grant;
        }
        Account account =
                accounts.computeIfAbsent(request.organisation(), o -> new Account(request, cap, share, nowMillis));
        UsageGrant grant = account.decide(request, cap, share, nowMillis);
        remembered.put(request.id(), new Remembered(grant, nowMillis));
        return grant;
    }

    /**
     * Returns units that were granted, here or by an earlier owner, and not used.
     *
     * @param id identifies the message
     * @param organisation the name of the organisation
     * @param units the units
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void giveBack(MessageId id, String organisation, long units, long nowMillis) {
        forgetOld(nowMillis);
        Account account = accounts.get(organisation);
        if (account != null && remembered.putIfAbsent(id, new Remembered(new UsageGrant(0, 0), nowMillis)) == null) {
            account.bucket.add(Math.max(0, units), nowMillis);
        }
    }

    /**
     * Removes the state of organisations that have no cap any more or another owner.
     *
     * @param isOwned returns whether this node owns the organisation of a name and it has a cap
     */
    public synchronized void retain(Predicate<String> isOwned) {
        accounts.keySet().removeIf(isOwned.negate());
    }

    /** Removes all state. Called after a pause of the process, when another node may have granted the cap meanwhile. */
    public synchronized void clear() {
        accounts.clear();
    }

    /**
     * Counts the organisations that have state.
     *
     * @return the number of organisations
     */
    public synchronized int countOrganisations() {
        return accounts.size();
    }

    private void forgetOld(long nowMillis) {
        Iterator<Remembered> oldest = remembered.values().iterator();
        while (oldest.hasNext()
                && (nowMillis - oldest.next().sinceMillis > REMEMBER_MILLIS || remembered.size() >= MAX_REMEMBERED)) {
            oldest.remove();
        }
    }

    /**
     * Identifies a message of a node.
     *
     * @param node the name of the node
     * @param run the run of the node
     * @param id the number of the message among those of the run
     */
    public record MessageId(String node, long run, long id) {}

    /**
     * A request for units.
     *
     * @param id identifies the request
     * @param organisation the name of the organisation
     * @param units the units of the request
     * @param aheadUnits further units for requests that are expected soon, at least 0
     */
    public record UsageRequest(MessageId id, String organisation, long units, long aheadUnits) {}

    private record Remembered(UsageGrant grant, long sinceMillis) {}

    /** The bucket of an organisation and the retry times that were stated to its callers. */
    private final class Account {
        private final TokenBucket bucket;

        /** Time at which all callers that were told to retry can have been served at the rate of the cap. */
        private double promisedUntilMillis;

        Account(UsageRequest first, UsageCap cap, double share, long nowMillis) {
            double rate = cap.unitsPerSecond() * share;
            double start = Math.max(rate * startSeconds, UsageUnits.limit(cap, first.units()));
            bucket = TokenBucket.create(rate, cap.burst() * share, start, nowMillis);
        }

        UsageGrant decide(UsageRequest request, UsageCap cap, double share, long nowMillis) {
            double rate = cap.unitsPerSecond() * share;
            bucket.setLimits(rate, cap.burst() * share, nowMillis);
            long units = UsageUnits.limit(cap, request.units());
            if (!bucket.tryTake(units, nowMillis)) {
                return new UsageGrant(0, promise(units, rate, nowMillis));
            }
            long ahead = Math.max(0, request.aheadUnits());
            double reserve = AHEAD_RESERVE * bucket.getCapacity();
            return new UsageGrant(
                    bucket.getLevel(nowMillis) - ahead >= reserve ? units + take(ahead, nowMillis) : units, 0);
        }

        private long take(long ahead, long nowMillis) {
            bucket.take(ahead, 0, nowMillis);
            return ahead;
        }

        /** Gets the time after which a request has room once those refused before it have been served. */
        private long promise(long units, double rate, long nowMillis) {
            double readyMillis = nowMillis + bucket.getMillisUntil(units, nowMillis);
            double retryMillis = Math.min(Math.max(readyMillis, promisedUntilMillis), nowMillis + MAX_RETRY_MILLIS);
            promisedUntilMillis = retryMillis + 1000.0 * units / rate;
            return (long) Math.ceil(retryMillis - nowMillis);
        }
    }
}
