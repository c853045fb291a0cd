package org.magnoliavane.node.placement;

import org.magnoliavane.pool.SchedulerDecision;

/**
 * Holds a placement and the reason for it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param placement the placement
 * @param explanation the candidates and the reason
 * @param isolated true when the attempt shares its workers with no other attempt
 */
record Grant(Placement placement, String explanation, boolean isolated) {

    SchedulerDecision.Start toStartDecision() {
        return new SchedulerDecision.Start(
                placement.attempt(),
                placement.prefillWorker().id(),
                placement.decodeWorker().id(),
                placement.pieces(),
                placement.priority(),
                explanation);
    }
}
