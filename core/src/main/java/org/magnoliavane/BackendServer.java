package org.magnoliavane;

/**
 * Describes a worker, which is a backend server that runs one service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of its VM
 * @param service the service that it runs
 * @param role its role in the service
 * @param host its IP address
 * @param port its TCP port
 * @param zone its availability zone
 * @param leaving true when it is draining and must not get new work
 */
public record BackendServer(
        String id, String service, WorkerRole role, String host, int port, String zone, boolean leaving) {}
