package org.magnoliavane.router.roles;

import org.magnoliavane.WorkerRole;

/**
 * The state of a worker as far as orders depend on it.
 *
 * @param role its role
 * @param changingRole true while it carries out an order
 * @param acceptedOrders the number of orders that it has accepted since its start
 */
public record WorkerState(WorkerRole role, boolean changingRole, long acceptedOrders) {}
