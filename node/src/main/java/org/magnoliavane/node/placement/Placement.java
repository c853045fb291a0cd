package org.magnoliavane.node.placement;

import org.magnoliavane.BackendServer;

/**
 * Names the workers that the coordinator chose for an attempt.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempt the id of the attempt
 * @param prefillWorker the prefill worker
 * @param decodeWorker the decode worker
 * @param pieces the number of pieces of KV cache memory to reserve at the decode worker
 * @param priority the priority for the engines, 0 (lowest) to 9
 */
public record Placement(
        String attempt, BackendServer prefillWorker, BackendServer decodeWorker, int pieces, int priority) {}
