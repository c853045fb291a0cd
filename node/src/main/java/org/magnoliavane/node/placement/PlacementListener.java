package org.magnoliavane.node.placement;

import org.magnoliavane.pool.SchedulerDecision;

/**
 * Receives the decisions of the coordinator about one attempt. Methods are called on the thread of the coordinator and
 * must not block.
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
     * Receives the notice that the coordinator has ended a started attempt.
     *
     * @param reason why the coordinator ended the attempt
     */
    void onEnd(String reason);
}
