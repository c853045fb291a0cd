package org.magnoliavane.pool;

import org.magnoliavane.WorkerRole;

/**
 * Describes a worker as the scheduler of its pool sees it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the VM id
 * @param role the role
 * @param zone the availability zone
 * @param leaving true when it must get no new work
 */
public record PoolWorker(String id, WorkerRole role, String zone, boolean leaving) {}
