package org.magnoliavane.node.placement;

import org.magnoliavane.pool.SchedulerDecision;

/**
 * Receives the decisions about one attempt. Runs on the coordinator's thread and must not block.
 */
interface PlacementListener {

    /**
     * Receives the placement.
     *
     * @param grant the placement
     */
    void onGrant(Grant grant);

    /**
     * Receives the refusal.
     *
     * @param refusal the refusal
     */
    void onRefusal(SchedulerDecision.Refuse refusal);

    /**
     * Receives the end of a started attempt.
     *
     * @param reason why the coordinator ended it
     */
    void onEnd(String reason);
}
