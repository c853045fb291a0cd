package org.magnoliavane.usage;

import org.magnoliavane.routing.UsageCap;

/**
 * Keeps what one node knows about the use of an organisation: units granted ahead, its recent use, and a bucket with the node's
 * equal share of the cap, from a part of which the node decides when the owner does not reply.
 *
 * <p>Grants of the owner are charged to the share as well, so that a node that has used its part before the owner failed does not
 * use it twice. A node that was not refused lately starts afresh, since the organisation is likely to be below its cap.
 *
 * <p>Thread-safe.
 */
public final class NodeUsage {
    /** Use that is requested in advance. */
    private static final double AHEAD_SECONDS = 0.5;

    /** Units ahead are requested for at least this many requests; fewer would save no message. */
    private static final int MIN_AHEAD_REQUESTS = 2;

    /** Time after which unused units ahead are returned. */
    private static final long AHEAD_MILLIS = 1000;

    /** Time over which recent use is averaged. */
    private static final double RECENT_MILLIS = 1000;

    /** Time for which a refusal shows that the organisation is over its cap, and length of a series of local decisions. */
    private static final long EPISODE_MILLIS = 5000;

    /**
     * Part of the equal share that a node uses without a reply. The owner may go on to grant the whole cap to the nodes that reach
     * it, until it notices after 2.5 s that it does not hear the others; with the whole share, 7 nodes of which 5 do not reach the
     * owner exceed the bound.
     */
    private static final double FALLBACK_SHARE = 0.5;

    /** Longest retry time of a local decision; by then another node has become the owner. */
    private static final long MAX_LOCAL_RETRY_MILLIS = 2500;

    private static final double MILLIS_PER_SECOND = 1000;

    private final double position;
    private final TokenBucket share;
    private UsageCap cap;
    private int nodes;
    private double sharePerSecond;
    private double recentUnits;
    private long recentMillis;
    private long aheadUnits;
    private long aheadMillis;
    private long unusableUnits;
    private long refusedMillis;
    private long localMillis;

    private NodeUsage(UsageCap cap, int nodes, double position, long nowMillis) {
        this.cap = cap;
        this.nodes = nodes;
        this.position = position;
        this.sharePerSecond = FALLBACK_SHARE * cap.unitsPerSecond() / nodes;
        this.share = TokenBucket.create(sharePerSecond, cap.burst() / nodes, cap.burst() / nodes, nowMillis);
        this.recentMillis = nowMillis;
        this.refusedMillis = nowMillis - EPISODE_MILLIS;
        this.localMillis = nowMillis - EPISODE_MILLIS;
    }

    /**
     * Creates the state of an organisation that was not used lately.
     *
     * @param cap the cap of the organisation
     * @param nodes the number of nodes listed, at least 1
     * @param position a number from 0 to 1 that differs evenly among the nodes
     * @param nowMillis the current time, in milliseconds
     * @return the state
     */
    public static NodeUsage create(UsageCap cap, int nodes, double position, long nowMillis) {
        return new NodeUsage(cap, nodes, position, nowMillis);
    }

    /**
     * Sets the cap and the number of nodes. Units that were granted ahead under another cap are not used any more.
     *
     * @param newCap the cap of the organisation
     * @param newNodes the number of nodes listed, at least 1
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void setLimits(UsageCap newCap, int newNodes, long nowMillis) {
        if (!cap.equals(newCap)) {
            unusableUnits += aheadUnits;
            aheadUnits = 0;
            cap = newCap;
        }
        nodes = newNodes;
        sharePerSecond = FALLBACK_SHARE * newCap.unitsPerSecond() / nodes;
        share.setLimits(sharePerSecond, newCap.burst() / nodes, nowMillis);
    }

    /**
     * Uses units that were granted ahead.
     *
     * @param units the units of a request
     * @param nowMillis the current time, in milliseconds
     * @return false if the owner must be asked
     */
    public synchronized boolean tryUseAhead(long units, long nowMillis) {
        if (aheadUnits < units || nowMillis - aheadMillis >= AHEAD_MILLIS) {
            return false;
        }
        aheadUnits -= units;
        recordUse(units, nowMillis);
        return true;
    }

    /**
     * Gets the units to request ahead, by the recent use of this node.
     *
     * @param units the units of the request that is sent to the owner
     * @param nowMillis the current time, in milliseconds
     * @return the units, 0 for a node with low demand
     */
    public synchronized long getAheadToRequest(long units, long nowMillis) {
        double expected = getRecentUnits(nowMillis) / RECENT_MILLIS * MILLIS_PER_SECOND * AHEAD_SECONDS - aheadUnits;
        return expected < MIN_AHEAD_REQUESTS * units ? 0 : (long) expected;
    }

    /**
     * Records a grant of the owner.
     *
     * @param units the units of the request
     * @param ahead the units granted ahead
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordGrant(long units, long ahead, long nowMillis) {
        recordUse(units, nowMillis);
        if (ahead > 0) {
            aheadUnits += ahead;
            aheadMillis = nowMillis;
        }
    }

    /**
     * Records that the owner refused a request.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordRefusal(long nowMillis) {
        refusedMillis = nowMillis;
    }

    /**
     * Decides on a request by the equal share of this node.
     *
     * @param units the units of the request
     * @param nowMillis the current time, in milliseconds
     * @return the decision
     */
    public synchronized UsageGrant decideLocally(long units, long nowMillis) {
        if (nowMillis - localMillis >= EPISODE_MILLIS && nowMillis - refusedMillis >= EPISODE_MILLIS) {
            startEpisode(units, nowMillis);
        }
        localMillis = nowMillis;
        if (share.tryTake(units, nowMillis)) {
            addRecent(units, nowMillis);
            return new UsageGrant(units, 0);
        }
        long waitMillis = (long) Math.ceil(share.getMillisUntil(units, nowMillis));
        return new UsageGrant(0, Math.max(1, Math.min(MAX_LOCAL_RETRY_MILLIS, waitMillis)));
    }

    /**
     * Fills the share, so that the first request of each node is granted. In a fleet so large that these requests together exceed
     * what the bound permits beyond the cap, only some nodes do; the others begin at different points of the time that their share
     * needs for one request.
     */
    private void startEpisode(long units, long nowMillis) {
        share.add(share.getCapacity() - share.getLevel(nowMillis), nowMillis);
        if (position * nodes * units >= UsageUnits.getToleratedExcess(cap)) {
            share.take(position * units, Double.MAX_VALUE, nowMillis);
        }
    }

    /**
     * Returns units of a local decision whose request did not run.
     *
     * @param units the units
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void giveBackLocally(long units, long nowMillis) {
        share.add(units, nowMillis);
    }

    /**
     * Takes the units granted ahead that are not used any more, which must be returned to the owner.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the units; 0 for none
     */
    public synchronized long takeUnusable(long nowMillis) {
        long units = unusableUnits;
        unusableUnits = 0;
        if (nowMillis - aheadMillis >= AHEAD_MILLIS) {
            units += aheadUnits;
            aheadUnits = 0;
        }
        return units;
    }

    private void recordUse(long units, long nowMillis) {
        share.take(units, sharePerSecond * UsageUnits.WINDOW_SECONDS, nowMillis);
        addRecent(units, nowMillis);
    }

    private void addRecent(long units, long nowMillis) {
        recentUnits = getRecentUnits(nowMillis) + units;
        recentMillis = Math.max(recentMillis, nowMillis);
    }

    private double getRecentUnits(long nowMillis) {
        return recentUnits * Math.exp(-Math.max(0, nowMillis - recentMillis) / RECENT_MILLIS);
    }
}
