package org.magnoliavane.router.roles;

import org.magnoliavane.WorkerRole;

/**
 * The part of the state of a worker that role orders depend on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param role the current role
 * @param changingRole true while the worker carries out an order
 * @param acceptedOrders the number of orders that the worker has accepted since its start
 */
public record WorkerState(WorkerRole role, boolean changingRole, long acceptedOrders) {}
