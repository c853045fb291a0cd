package org.magnoliavane.router.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.magnoliavane.Fault;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ScoredWorkers;

/**
 * Describes what would happen to a request for a service if it arrived now.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param roles the workers of the service by role
 * @param waitingHere the number of requests for the service that wait at this node
 * @param waitingAtAllNodes the number of requests that wait at all nodes, as far as known
 * @param expectedWaitMillis the expected wait, in milliseconds; empty if it is not known
 * @param outcome what would happen to the request
 */
public record ChoicePreview(
        String service,
        List<RoleScores> roles,
        int waitingHere,
        int waitingAtAllNodes,
        OptionalLong expectedWaitMillis,
        Outcome outcome) {

    /**
     * The workers of one role.
     *
     * @param role the role
     * @param scored the workers with their costs or the reasons not to choose them
     * @param probabilities the probabilities by id of the workers that may be chosen
     */
    public record RoleScores(WorkerRole role, ScoredWorkers scored, Map<String, Double> probabilities) {}

    /** What happens to a request. */
    public enum Action {
        /** The request is sent to a worker at once, if the reservation owner grants it where one is asked. */
        SENT,
        /** The request waits in the queue of this node. */
        WAITS_AT_NODE,
        /** The request waits at the reservation owner of a worker. */
        WAITS_AT_OWNER,
        /** The request is refused. */
        REFUSED
    }

    /**
     * The outcome of a request.
     *
     * @param action what happens
     * @param reason why, in words
     * @param workers the workers to one of which the request is sent, or at whose owners it may wait, best first
     * @param asksOwner whether the reservation owner of the worker is asked first
     * @param fault the error response of a refused request; empty for other outcomes
     */
    public record Outcome(
            Action action, String reason, List<ListedWorker> workers, boolean asksOwner, Optional<Fault> fault) {
        static Outcome of(Action action, String reason, List<ListedWorker> workers, boolean asksOwner) {
            return new Outcome(action, reason, workers, asksOwner, Optional.empty());
        }

        /**
         * Creates the outcome of a refused request.
         *
         * @param fault the error response
         * @return the outcome
         */
        public static Outcome refused(Fault fault) {
            return new Outcome(Action.REFUSED, fault.message(), List.of(), false, Optional.of(fault));
        }
    }
}
