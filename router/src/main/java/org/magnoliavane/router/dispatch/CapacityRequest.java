package org.magnoliavane.router.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;

/**
 * Asks the reservation owners of up to two workers for capacity for one request, takes the first grant and withdraws from the
 * others. The second owner is asked only when the request waits at the first, so that a decision costs one request and one
 * reply as long as capacity is free.
 *
 * <p>Not thread-safe; all methods and callbacks run on the executor of the request.
 */
final class CapacityRequest {
    /** Number of workers for which a request waits at the same time. */
    private static final int MAX_WORKERS = 2;

    /** Number of rejections after which the request is tried again later; bounds the messages while owners have full queues. */
    private static final int MAX_REJECTIONS = 2;

    /**
     * A worker that may be asked for capacity.
     *
     * @param worker the worker
     * @param free whether the worker is believed to have free capacity
     */
    record Candidate(ListedWorker worker, boolean free) {}

    /** Chooses workers. */
    @FunctionalInterface
    interface Chooser {
        /** Chooses a worker that is not excluded, one with free capacity if there is one. */
        Optional<Candidate> choose(Set<String> excluded);
    }

    /** Receives the results. */
    interface Listener {
        /** Called with the first grant. */
        void onGranted(ListedWorker worker, ReservationService.Reservation reservation);

        /** Called when an owner lets the request wait. */
        void onWaiting(ListedWorker worker);

        /** Called when an owner has rejected the request; the last time it waits nowhere. */
        void onRejected(ListedWorker worker, boolean last);
    }

    private final ReservationService service;
    private final Executor executor;
    private final Chooser chooser;
    private final Function<Candidate, Demand> demands;
    private final Listener listener;
    private final Map<String, Ask> asks = new LinkedHashMap<>();
    private final Set<String> rejected = new HashSet<>();

    CapacityRequest(
            ReservationService service,
            Executor executor,
            Chooser chooser,
            Function<Candidate, Demand> demands,
            Listener listener) {
        this.service = service;
        this.executor = executor;
        this.chooser = chooser;
        this.demands = demands;
        this.listener = listener;
    }

    /** Asks the owner of a worker. */
    void ask(Candidate candidate) {
        Ask ask = new Ask(candidate.worker());
        asks.put(candidate.worker().id(), ask);
        ask.reservation = service.reserve(demands.apply(candidate), r -> executor.execute(() -> handleReply(ask, r)));
    }

    private void handleReply(Ask ask, Reply reply) {
        if (asks.get(ask.worker.id()) != ask) {
            // The reply has crossed the withdrawal.
            ask.reservation.release();
            return;
        }
        switch (reply) {
            case GRANTED -> {
                asks.remove(ask.worker.id());
                withdraw();
                listener.onGranted(ask.worker, ask.reservation);
            }
            case WAITING -> {
                ask.waiting = true;
                listener.onWaiting(ask.worker);
                askAnother();
            }
            default -> {
                asks.remove(ask.worker.id());
                ask.reservation.release();
                rejected.add(ask.worker.id());
                if (rejected.size() < MAX_REJECTIONS) {
                    askAnother();
                }
                listener.onRejected(ask.worker, asks.isEmpty());
            }
        }
    }

    private void askAnother() {
        if (asks.size() < MAX_WORKERS) {
            chooser.choose(getTried()).ifPresent(this::ask);
        }
    }

    /**
     * Asks for a worker that has become free meanwhile as far as this node knows, instead of the one for which the request has
     * waited longest; its place in the order does not depend on when it asked.
     */
    void lookForFree() {
        if (asks.isEmpty() || asks.values().stream().anyMatch(a -> !a.waiting)) {
            return;
        }
        chooser.choose(getTried()).filter(Candidate::free).ifPresent(free -> {
            if (asks.size() == MAX_WORKERS) {
                withdraw(asks.values().iterator().next());
            }
            ask(free);
        });
    }

    /** Withdraws the request from all owners. */
    void withdraw() {
        List.copyOf(asks.values()).forEach(this::withdraw);
    }

    private void withdraw(Ask ask) {
        asks.remove(ask.worker.id());
        ask.reservation.release();
    }

    private Set<String> getTried() {
        Set<String> tried = new HashSet<>(rejected);
        tried.addAll(asks.keySet());
        return tried;
    }

    private static final class Ask {
        private final ListedWorker worker;
        private boolean waiting;
        private ReservationService.Reservation reservation = () -> {};

        Ask(ListedWorker worker) {
            this.worker = worker;
        }
    }
}
