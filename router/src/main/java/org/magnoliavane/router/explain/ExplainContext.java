package org.magnoliavane.router.explain;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.magnoliavane.Fault;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.peer.LiveNodes;
import org.magnoliavane.routing.RequestKind;

/**
 * Holds the dependencies of explanations.
 *
 * @param node the name of this node
 * @param routingState the configuration in force and the known workers
 * @param loadTracker the load and the health of the workers
 * @param dispatcher previews choices
 * @param statuses gets the HTTP status of an error response
 * @param configurationAgeMillis gets the time in milliseconds since the configuration was last confirmed
 * @param workerListAgeMillis gets the time in milliseconds since the known workers were last current
 * @param maxWorkerListAgeMillis the age in milliseconds from which the list of workers counts as old
 * @param liveNodes gets the nodes among which the owners of reservations are found
 * @param acceptance decides whether this node accepts a request while it shuts down
 * @param clockMillis a monotonic clock, in milliseconds
 */
public record ExplainContext(
        String node,
        RoutingState routingState,
        WorkerLoadTracker loadTracker,
        Dispatcher dispatcher,
        ToIntFunction<Fault> statuses,
        LongSupplier configurationAgeMillis,
        LongSupplier workerListAgeMillis,
        long maxWorkerListAgeMillis,
        Supplier<LiveNodes> liveNodes,
        Acceptance acceptance,
        LongSupplier clockMillis) {

    /** Decides whether a node accepts a request. Implementations are thread-safe. */
    @FunctionalInterface
    public interface Acceptance {
        /**
         * Returns whether a request is accepted.
         *
         * @param kind the kind of the request
         * @param deadlineMillis the time at which the request is answered at the latest
         * @param nowMillis the current time in milliseconds
         * @return false if the caller should send the request to another node
         */
        boolean canAccept(RequestKind kind, long deadlineMillis, long nowMillis);
    }
}
