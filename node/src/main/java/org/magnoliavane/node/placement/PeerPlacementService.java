package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.magnoliavane.BackendServer;
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.decision.Decision;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.peer.PeerNetwork;
import org.magnoliavane.node.peer.Peers;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.SchedulerDecision;
import org.magnoliavane.protocol.generated.Announce;
import org.magnoliavane.protocol.generated.EndAttempt;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Place;
import org.magnoliavane.protocol.generated.PlaceResult;
import org.magnoliavane.protocol.generated.Started;
import org.magnoliavane.protocol.generated.Withdraw;

/**
 * Requests placements from the coordinator of a pool, in this node or through a peer connection. When the coordinator
 * or the connection to it changes, the started attempts are announced again and the waiting requests are sent again.
 *
 * <p>Thread-safe.
 */
public final class PeerPlacementService implements PlacementService, AutoCloseable {
    /** Largest number of contents whose failure is kept until they are placed again. */
    private static final int MAX_ISOLATED_FAILURES = 256;

    private static final long UPDATE_INTERVAL_MILLIS = 50;
    /** Time beyond the longest wait of a request after which a reply of the coordinator is no longer expected. */
    private static final long REPLY_MARGIN_MILLIS = 1000;

    private static final long RETRY_AFTER_MILLIS = 1000;
    /** Size beyond which an announcement is split into several frames. */
    private static final int MAX_ANNOUNCE_BYTES = 256 * 1024;

    private final NodeRun self;
    private final Supplier<ClusterView> view;
    private final Peers peers;
    private final PlacementCoordinator coordinator;
    private final DecisionLog decisions;
    private final Map<String, ActiveAttempt> attempts = new ConcurrentHashMap<>();
    private final Map<String, CoordinatorConnection> connections = new HashMap<>();

    /** Workers on which a content failed while it ran isolated, until it is placed again; guarded by the connections. */
    private final Map<Long, List<BackendServer>> isolatedFailures = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<BackendServer>> eldest) {
            return size() > MAX_ISOLATED_FAILURES;
        }
    };

    private final ScheduledThreadPoolExecutor timers;

    private PeerPlacementService(
            NodeRun self,
            Supplier<ClusterView> view,
            Peers peers,
            PlacementCoordinator coordinator,
            DecisionLog decisions) {
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.coordinator = coordinator;
        this.decisions = decisions;
        timers = DaemonTimers.open("placement-timers", 1);
        timers.scheduleWithFixedDelay(
                this::updateAttempts, UPDATE_INTERVAL_MILLIS, UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the service and registers the message handlers of the coordinator of this node.
     *
     * @param self the run of this node
     * @param view provides the cluster view with the nodes
     * @param network the connections to the other nodes
     * @param coordinator the coordinator of this node
     * @param poison the poison verdicts of this node
     * @param decisions records the decisions
     * @return the service
     */
    public static PeerPlacementService start(
            NodeRun self,
            Supplier<ClusterView> view,
            PeerNetwork network,
            PlacementCoordinator coordinator,
            PoisonRegistry poison,
            DecisionLog decisions) {
        PeerPlacementService service = new PeerPlacementService(self, view, network, coordinator, decisions);
        poison.setChangeListener(network::sendHeartbeats);
        network.setHandler(Frame.BodyCase.PLACE, service::onPlace);
        network.setHandler(Frame.BodyCase.PROGRESS, service::onProgress);
        network.setHandler(Frame.BodyCase.WITHDRAW, service::onWithdraw);
        network.setHandler(Frame.BodyCase.ANNOUNCE, service::onAnnounce);
        network.setHandler(Frame.BodyCase.END_ATTEMPT, service::onEndAttempt);
        network.setHandler(
                Frame.BodyCase.HEARTBEAT,
                (from, frame, reply) -> poison.merge(frame.getHeartbeat().getVerdictsList()));
        return service;
    }

    /** Returns the key of a pool, for which the cluster view selects the owner. */
    static String toPoolName(String service) {
        return "pool/" + service;
    }

    @Override
    public CompletionStage<Either<Fault, Placement>> place(PlacementRequest request, Consumer<String> onEnd) {
        ActiveAttempt active = new ActiveAttempt(request, takeIsolatedFailure(request), onEnd);
        attempts.put(request.attempt(), active);
        synchronized (connections) {
            updateConnection(request.service());
            sendRequest(active);
        }
        return active.result;
    }

    @Override
    public void report(AttemptProgress progress) {
        ActiveAttempt active = attempts.get(progress.attempt());
        if (active == null) {
            return;
        }
        synchronized (connections) {
            active.progress = progress;
            if (progress.phase().isTerminal()) {
                attempts.remove(progress.attempt());
                recordIsolatedFailure(active, progress.phase());
            }
            CoordinatorConnection connection = connections.get(active.request.service());
            if (connection != null && connection.local) {
                coordinator.handleProgress(active.request.service(), progress);
            } else if (connection != null) {
                peers.send(
                        connection.run.node(),
                        Frame.newBuilder()
                                .setProgress(PlacementMessages.toMessage(active.request.service(), progress)));
            }
        }
    }

    private List<BackendServer> takeIsolatedFailure(PlacementRequest request) {
        synchronized (connections) {
            List<BackendServer> workers = isolatedFailures.remove(request.contentHash());
            return workers == null ? List.of() : workers;
        }
    }

    private void recordIsolatedFailure(ActiveAttempt active, AttemptPhase phase) {
        long content = active.request.contentHash();
        isolatedFailures.remove(content);
        boolean failed = phase == AttemptPhase.PREFILL_FAILED || phase == AttemptPhase.DECODE_FAILED;
        active.grant.filter(g -> failed && g.isolated()).map(Grant::placement).ifPresent(p -> {
            List<BackendServer> workers = List.of(p.prefillWorker(), p.decodeWorker());
            isolatedFailures.put(content, workers);
            coordinator.verifyIsolatedFailure(content, workers);
        });
    }

    @Override
    public void withdraw(String attempt) {
        ActiveAttempt active = attempts.remove(attempt);
        if (active == null) {
            return;
        }
        active.fail(Fault.notRun(FaultKind.UNAVAILABLE, "the attempt was withdrawn", "send the request again"));
        synchronized (connections) {
            sendWithdrawal(active.request);
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }

    private void sendWithdrawal(PlacementRequest request) {
        CoordinatorConnection connection = connections.get(request.service());
        if (connection != null && connection.local) {
            coordinator.withdraw(request.service(), request.attempt());
        } else if (connection != null) {
            peers.send(
                    connection.run.node(),
                    Frame.newBuilder()
                            .setWithdraw(Withdraw.newBuilder()
                                    .setService(request.service())
                                    .setAttempt(request.attempt())));
        }
    }

    private void updateAttempts() {
        try {
            attempts.values().forEach(this::expire);
            synchronized (connections) {
                Set<String> services = new HashSet<>(connections.keySet());
                attempts.values().forEach(active -> services.add(active.request.service()));
                services.forEach(this::updateConnection);
                attempts.values().forEach(this::sendRequest);
            }
        } catch (RuntimeException e) {
            System.getLogger(PeerPlacementService.class.getName())
                    .log(
                            System.Logger.Level.ERROR,
                            "The periodic update of placement attempts failed; it is repeated.",
                            e);
        }
    }

    private void expire(ActiveAttempt active) {
        long limitMillis = active.request.maxWaitMillis() + REPLY_MARGIN_MILLIS;
        if (active.result.isDone() || active.getAgeMillis() <= limitMillis) {
            return;
        }
        attempts.remove(active.request.attempt());
        Fault fault = Fault.notRun(
                        FaultKind.UNAVAILABLE,
                        "the coordinator of pool " + active.request.service() + " did not answer within " + limitMillis
                                + " ms",
                        "send the request again")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        active.fail(fault);
        synchronized (connections) {
            sendWithdrawal(active.request);
        }
    }

    /** Updates the connection to the coordinator of a pool; a new coordinator receives the started attempts. */
    private void updateConnection(String service) {
        NodeAddress owner = view.get().getOwner(toPoolName(service));
        Optional<CoordinatorConnection> next = findConnection(owner);
        CoordinatorConnection previous = connections.get(service);
        if (next.isEmpty() || next.get().equals(previous)) {
            return;
        }
        if (previous != null && !previous.run.equals(next.get().run)) {
            releaseAttempts(service, previous);
        }
        connections.put(service, next.get());
        List<ActiveAttempt> affected = new ArrayList<>();
        for (ActiveAttempt active : attempts.values()) {
            if (active.request.service().equals(service)) {
                active.sentTo = Optional.empty();
                affected.add(active);
            }
        }
        announce(service, next.get(), affected);
    }

    private Optional<CoordinatorConnection> findConnection(NodeAddress owner) {
        if (owner.run().equals(self)) {
            return Optional.of(new CoordinatorConnection(self, true, 0));
        }
        OptionalLong connectionId = peers.findConnectionId(owner.run().node());
        return connectionId.isPresent()
                ? Optional.of(new CoordinatorConnection(owner.run(), false, connectionId.getAsLong()))
                : Optional.empty();
    }

    private void releaseAttempts(String service, CoordinatorConnection previous) {
        if (previous.local) {
            coordinator.retain(service, self, Set.of());
        } else {
            Announce empty =
                    Announce.newBuilder().setService(service).setLast(true).build();
            peers.send(previous.run.node(), Frame.newBuilder().setAnnounce(empty));
        }
    }

    private void announce(String service, CoordinatorConnection connection, List<ActiveAttempt> affected) {
        if (connection.local) {
            for (ActiveAttempt active : affected) {
                active.grant.ifPresent(grant -> coordinator.adopt(
                        toAnnouncedRequest(active, grant),
                        self,
                        grant,
                        Optional.ofNullable(active.progress),
                        new LocalListener(active)));
            }
            return;
        }
        Announce.Builder part = Announce.newBuilder().setService(service);
        List<String> ids = new ArrayList<>();
        for (ActiveAttempt active : affected) {
            ids.add(active.request.attempt());
            active.grant.ifPresent(grant -> part.addStarted(toStarted(active, grant)));
            if (part.build().getSerializedSize() > MAX_ANNOUNCE_BYTES) {
                peers.send(connection.run.node(), Frame.newBuilder().setAnnounce(part.build()));
                part.clearStarted();
            }
        }
        part.setLast(true).addAllOthers(ids);
        peers.send(connection.run.node(), Frame.newBuilder().setAnnounce(part.build()));
    }

    private static PlacementRequest toAnnouncedRequest(ActiveAttempt active, Grant grant) {
        return PlacementRequests.subtractWait(active.request, active.getAgeMillis(), grant.isolated());
    }

    private static Started toStarted(ActiveAttempt active, Grant grant) {
        Started.Builder started = Started.newBuilder()
                .setRequest(PlacementMessages.toMessage(toAnnouncedRequest(active, grant)))
                .setStart(PlacementMessages.toMessage(grant));
        if (active.progress != null) {
            started.setProgress(PlacementMessages.toMessage(active.request.service(), active.progress));
        }
        return started.build();
    }

    private void sendRequest(ActiveAttempt active) {
        CoordinatorConnection connection = connections.get(active.request.service());
        if (connection == null
                || active.result.isDone()
                || active.sentTo.filter(connection::equals).isPresent()) {
            return;
        }
        if (!findConnection(view.get().getOwner(toPoolName(active.request.service())))
                .filter(connection::equals)
                .isPresent()) {
            return;
        }
        active.sentTo = Optional.of(connection);
        PlacementRequest request = PlacementRequests.subtractWait(active.request, active.getAgeMillis(), false);
        if (connection.local) {
            coordinator.place(request, self, active.failedIsolatedWorkers, new LocalListener(active));
            return;
        }
        Place.Builder place = Place.newBuilder().setRequest(PlacementMessages.toMessage(request));
        active.failedIsolatedWorkers.forEach(w -> place.addFailedIsolatedWorkers(PlacementMessages.toMessage(w)));
        Frame.Builder message = Frame.newBuilder().setPlace(place);
        long limitMillis = request.maxWaitMillis() + REPLY_MARGIN_MILLIS;
        peers.sendRequest(connection.run.node(), message, limitMillis).whenComplete((reply, cause) -> {
            if (cause == null) {
                handleResult(active, connection, reply.getPlaceResult());
            } else {
                allowResend(active, connection);
            }
        });
    }

    private void allowResend(ActiveAttempt active, CoordinatorConnection connection) {
        synchronized (connections) {
            if (active.sentTo.filter(connection::equals).isPresent()) {
                active.sentTo = Optional.empty();
            }
        }
    }

    private void handleResult(ActiveAttempt active, CoordinatorConnection connection, PlaceResult result) {
        if (result.hasStart()) {
            acceptGrant(active, connection, PlacementMessages.toGrant(active.request, result.getStart()));
        } else {
            handleRefusal(
                    active, connection, PlacementMessages.toRefusal(active.request.attempt(), result.getRefusal()));
        }
    }

    private void acceptGrant(ActiveAttempt active, CoordinatorConnection connection, Grant grant) {
        boolean accepted;
        synchronized (connections) {
            accepted = active.sentTo.filter(connection::equals).isPresent()
                    && attempts.get(active.request.attempt()) == active
                    && active.grant.isEmpty();
            if (accepted) {
                active.grant = Optional.of(grant);
            }
        }
        if (!accepted) {
            return;
        }
        String chosen = "prefill " + grant.placement().prefillWorker().id() + ", decode "
                + grant.placement().decodeWorker().id();
        record(active, "place", connection, chosen, grant.explanation());
        active.result.complete(Either.right(grant.placement()));
    }

    private void handleRefusal(
            ActiveAttempt active, CoordinatorConnection connection, SchedulerDecision.Refuse refusal) {
        synchronized (connections) {
            if (active.grant.isPresent() || !attempts.remove(active.request.attempt(), active)) {
                return;
            }
        }
        record(active, "refuse", connection, refusal.kind().toWire(), refusal.explanation());
        Fault fault = new Fault(
                refusal.kind(),
                ExecutionStatus.NO,
                refusal.explanation(),
                getRemedy(refusal.kind()),
                PlacementMessages.findRetryAfterMillis(refusal));
        active.fail(fault);
    }

    private static String getRemedy(FaultKind kind) {
        return switch (kind) {
            case POISON -> "change the request; its content crashes the engines";
            case OVERLOADED -> "send the request again after the stated time, or choose a more patient class";
            case INVALID_REQUEST, TOO_LARGE, NOT_FOUND -> "correct the request";
            default -> "send the request again after the stated time";
        };
    }

    private void handleEnd(ActiveAttempt active, String reason) {
        if (attempts.get(active.request.attempt()) != active) {
            return;
        }
        record(active, "end", connections.get(active.request.service()), "end", reason);
        active.onEnd.accept(reason);
    }

    private void record(
            ActiveAttempt active, String stage, CoordinatorConnection connection, String chosen, String reason) {
        String attempt = active.request.attempt();
        int dash = attempt.lastIndexOf('-');
        String request = dash > 0 ? attempt.substring(0, dash) : attempt;
        String considered = "attempt " + attempt + " in pool " + active.request.service() + " at coordinator "
                + (connection == null ? "unknown" : connection.run.node());
        decisions.record(new Decision(System.currentTimeMillis(), request, stage, considered, chosen, reason));
    }

    private void onPlace(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        PlacementRequest request = PlacementMessages.toRequest(frame.getPlace().getRequest());
        List<BackendServer> failed = frame.getPlace().getFailedIsolatedWorkersList().stream()
                .map(w -> PlacementMessages.toServer(request.service(), w, WorkerRole.DECODE))
                .toList();
        coordinator.place(request, from, failed, new RemoteListener(from, request.attempt(), reply));
    }

    private void onProgress(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        PlacementMessages.toProgress(frame.getProgress())
                .ifPresent(progress ->
                        coordinator.handleProgress(frame.getProgress().getService(), progress));
    }

    private void onWithdraw(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        coordinator.withdraw(
                frame.getWithdraw().getService(), frame.getWithdraw().getAttempt());
    }

    private void onAnnounce(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        Announce announce = frame.getAnnounce();
        for (Started started : announce.getStartedList()) {
            PlacementRequest request = PlacementMessages.toRequest(started.getRequest());
            coordinator.adopt(
                    request,
                    from,
                    PlacementMessages.toGrant(request, started.getStart()),
                    PlacementMessages.toProgress(started.getProgress()),
                    new RemoteListener(from, request.attempt(), ignored -> {}));
        }
        if (announce.getLast()) {
            coordinator.retain(announce.getService(), from, new HashSet<>(announce.getOthersList()));
        }
    }

    private void onEndAttempt(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        EndAttempt end = frame.getEndAttempt();
        Optional.ofNullable(attempts.get(end.getAttempt())).ifPresent(active -> handleEnd(active, end.getReason()));
    }

    /** Identifies a coordinator and the connection to it; a reconnect yields a different value. */
    private record CoordinatorConnection(NodeRun run, boolean local, long connectionId) {}

    /** Holds an attempt of this node from its placement request to its end. */
    private static final class ActiveAttempt {
        private final PlacementRequest request;
        private final List<BackendServer> failedIsolatedWorkers;
        private final Consumer<String> onEnd;
        private final long startNanos = System.nanoTime();
        private final CompletableFuture<Either<Fault, Placement>> result = new CompletableFuture<>();
        private Optional<CoordinatorConnection> sentTo = Optional.empty();
        private Optional<Grant> grant = Optional.empty();
        private AttemptProgress progress;

        ActiveAttempt(PlacementRequest request, List<BackendServer> failedIsolatedWorkers, Consumer<String> onEnd) {
            this.request = request;
            this.failedIsolatedWorkers = failedIsolatedWorkers;
            this.onEnd = onEnd;
        }

        long getAgeMillis() {
            return (System.nanoTime() - startNanos) / 1_000_000;
        }

        void fail(Fault fault) {
            result.complete(Either.left(fault));
        }
    }

    /** Applies decisions of the coordinator of this node to an attempt. */
    private final class LocalListener implements PlacementListener {
        private final ActiveAttempt active;
        private final CoordinatorConnection connection = new CoordinatorConnection(self, true, 0);

        LocalListener(ActiveAttempt active) {
            this.active = active;
        }

        @Override
        public void onGrant(Grant grant) {
            acceptGrant(active, connection, grant);
        }

        @Override
        public void onRefusal(SchedulerDecision.Refuse refusal) {
            handleRefusal(active, connection, refusal);
        }

        @Override
        public void onEnd(String reason) {
            handleEnd(active, reason);
        }
    }

    /** Sends decisions to the node that requested the placement. */
    private final class RemoteListener implements PlacementListener {
        private final NodeRun run;
        private final String attempt;
        private final Consumer<Frame.Builder> reply;

        RemoteListener(NodeRun run, String attempt, Consumer<Frame.Builder> reply) {
            this.run = run;
            this.attempt = attempt;
            this.reply = reply;
        }

        @Override
        public void onGrant(Grant grant) {
            reply.accept(Frame.newBuilder()
                    .setPlaceResult(PlaceResult.newBuilder().setStart(PlacementMessages.toMessage(grant))));
        }

        @Override
        public void onRefusal(SchedulerDecision.Refuse refusal) {
            reply.accept(Frame.newBuilder()
                    .setPlaceResult(PlaceResult.newBuilder().setRefusal(PlacementMessages.toMessage(refusal))));
        }

        @Override
        public void onEnd(String reason) {
            EndAttempt end = EndAttempt.newBuilder()
                    .setAttempt(attempt)
                    .setReason(reason)
                    .build();
            peers.send(run.node(), Frame.newBuilder().setEndAttempt(end));
        }
    }
}
