package org.magnoliavane.pool;

import org.magnoliavane.WorkerRole;

/**
 * Describes a worker to the scheduler of its pool.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the VM id
 * @param role the role in the service
 * @param zone the availability zone
 * @param leaving true when it is draining and must not get new work
 */
public record PoolWorker(String id, WorkerRole role, String zone, boolean leaving) {}
