package org.magnoliavane.router.dispatch;

import java.util.Collection;
import java.util.Set;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.Exclusion;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.PlainAdmission;
import org.magnoliavane.balance.ScoredWorkers;
import org.magnoliavane.routing.ServiceProfile;

/**
 * Scores the workers of a plain service.
 *
 * <p>Thread-safe.
 */
final class PlainWorkers {
    private final DispatchContext context;
    private final String service;

    /**
     * Creates the scoring for a service.
     *
     * @param context the dependencies
     * @param service the name of the service
     */
    PlainWorkers(DispatchContext context, String service) {
        this.context = context;
        this.service = service;
    }

    /** Gets how the nodes share the workers at present. */
    PlainAdmission getAdmission() {
        int maxConnections = context.routingState()
                .getRoutingTable()
                .flatMap(t -> t.findService(service))
                .map(ServiceProfile::maxConnections)
                .orElse(Integer.MAX_VALUE);
        return PlainAdmission.of(
                context.loadTracker().countReportingNodes(now()) + 1,
                getWorkers().stream()
                        .filter(w -> w.server().role() == WorkerRole.PLAIN)
                        .toList(),
                maxConnections);
    }

    /** Scores the workers for an exchange that needs no slot. */
    ScoredWorkers score(Set<String> excluded) {
        return context.workerSelector().scorePlain(getWorkers(), excluded, now());
    }

    /**
     * Scores the workers for a request for a slot; those at which this node has used up its connections are excluded.
     *
     * <p>An unhealthy worker is not chosen because the healthy ones are busy: a worker that fails at once is always free, and
     * would get most requests of an overload.
     *
     * @param admission how the nodes share the workers
     * @param tried the ids of workers to which the request must not be sent again
     * @param asked the ids of workers that have been asked for a slot
     */
    ScoredWorkers scoreForSlot(PlainAdmission admission, Set<String> tried, Set<String> asked) {
        return score(tried)
                .excluding(w -> isConnectionShareUsed(admission, w), Exclusion.CONNECTIONS_IN_USE)
                .excluding(w -> asked.contains(w.id()), Exclusion.ALREADY_TRIED);
    }

    /** Returns whether this node has used up its share of the connections to a worker. */
    boolean isConnectionShareUsed(PlainAdmission admission, ListedWorker worker) {
        return context.loadTracker().countOwnRequests(worker.id()) >= admission.getMaxRequestsPerWorker();
    }

    Collection<ListedWorker> getWorkers() {
        return context.routingState().getWorkers(service);
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
