package org.magnoliavane.router.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;

/**
 * Asks the reservation owners of several workers for capacity for one request, takes the first grant and withdraws from the
 * others. Each owner is asked only when the request waits at the ones before, so that a decision costs one request and one
 * reply as long as capacity is free.
 *
 * <p>Not thread-safe; all methods and callbacks run on the executor of the request.
 */
final class CapacityRequest {
    /**
     * Number of workers for which a request waits that can still be on time. A worker frees memory for about one stream a
     * second; with two workers a quarter of the most urgent requests of a burst became overdue, with six less than a tenth.
     */
    private static final int MAX_WORKERS = 6;

    /** The same for an overdue request; it waits for long, and each owner costs ten messages a second. */
    private static final int MAX_OVERDUE_WORKERS = 1;

    /** Number of rejections after which the request is tried again later; bounds the messages while owners have full queues. */
    private static final int MAX_REJECTIONS = 2;

    /** Number of looks for a free worker after which one may be asked again that was asked before; owners know better than reports. */
    private static final int LOOKS_UNTIL_ASKED_AGAIN = 5;

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
    private final IntSupplier maxWorkers;
    private final Executor executor;
    private final Chooser chooser;
    private final Function<Candidate, Demand> demands;
    private final Listener listener;
    private final Map<String, Ask> asks = new LinkedHashMap<>();
    private final Set<String> rejected = new HashSet<>();

    /** Workers that were asked lately. */
    private final Set<String> asked = new HashSet<>();

    private int looks;

    CapacityRequest(
            ReservationService service,
            BooleanSupplier overdue,
            Executor executor,
            Chooser chooser,
            Function<Candidate, Demand> demands,
            Listener listener) {
        this(
                () -> overdue.getAsBoolean() ? MAX_OVERDUE_WORKERS : MAX_WORKERS,
                service,
                executor,
                chooser,
                demands,
                listener);
    }

    CapacityRequest(
            IntSupplier maxWorkers,
            ReservationService service,
            Executor executor,
            Chooser chooser,
            Function<Candidate, Demand> demands,
            Listener listener) {
        this.service = service;
        this.maxWorkers = maxWorkers;
        this.executor = executor;
        this.chooser = chooser;
        this.demands = demands;
        this.listener = listener;
    }

    /** Asks the owner of a worker. */
    void ask(Candidate candidate) {
        Ask ask = new Ask(candidate.worker());
        asks.put(candidate.worker().id(), ask);
        asked.add(candidate.worker().id());
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
        if (asks.size() < getMaxWorkers()) {
            chooser.choose(getTried()).ifPresent(this::ask);
        }
    }

    /**
     * Asks for a worker that has become free meanwhile as far as this node knows, instead of the one for which the request has
     * waited longest; its place in the order does not depend on when it asked. Called several times a second; an overdue request
     * also withdraws from the workers beyond its number.
     */
    void lookForFree() {
        while (asks.size() > getMaxWorkers()) {
            withdraw(asks.values().iterator().next());
        }
        if (asks.isEmpty() || asks.values().stream().anyMatch(a -> !a.waiting)) {
            return;
        }
        if (++looks % LOOKS_UNTIL_ASKED_AGAIN == 0) {
            asked.retainAll(asks.keySet());
        }
        chooser.choose(Set.copyOf(asked)).filter(Candidate::free).ifPresent(free -> {
            if (asks.size() >= getMaxWorkers()) {
                withdraw(asks.values().iterator().next());
            }
            ask(free);
        });
    }

    private int getMaxWorkers() {
        return maxWorkers.getAsInt();
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
