package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.decision.Decision;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.peer.PeerNetwork;
import org.magnoliavane.node.peer.Peers;
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
 * Asks the coordinator of a pool, in this node or behind a peer connection. When the coordinator or the connection to
 * it changes, everything in work is announced again and everything that waits is asked for again.
 *
 * <p>Thread-safe.
 */
public final class PeerPlacementService implements PlacementService, AutoCloseable {
    private static final long SWEEP_MILLIS = 50;
    private static final long ANSWER_MARGIN_MILLIS = 1000;
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int ANNOUNCE_BYTES = 256 * 1024;

    private final NodeRun self;
    private final Supplier<ClusterView> view;
    private final Peers peers;
    private final PlacementCoordinator coordinator;
    private final DecisionLog decisions;
    private final Map<String, Active> attempts = new ConcurrentHashMap<>();
    private final Map<String, Target> targets = new HashMap<>();
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
        timers.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the service and connects the coordinator of this node to the network.
     *
     * @param self the run of this node
     * @param view provides the nodes
     * @param network the connections to the other nodes
     * @param coordinator the coordinator of this node
     * @param poison the poison verdicts of this node
     * @param decisions the log of decisions
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
        poison.setOnChange(network::sendHeartbeats);
        network.handle(Frame.BodyCase.PLACE, service::onPlace);
        network.handle(Frame.BodyCase.PROGRESS, service::onProgress);
        network.handle(Frame.BodyCase.WITHDRAW, service::onWithdraw);
        network.handle(Frame.BodyCase.ANNOUNCE, service::onAnnounce);
        network.handle(Frame.BodyCase.END_ATTEMPT, service::onEndAttempt);
        network.handle(
                Frame.BodyCase.HEARTBEAT,
                (from, frame, reply) -> poison.merge(frame.getHeartbeat().getVerdictsList()));
        return service;
    }

    static String toPoolName(String service) {
        return "pool/" + service;
    }

    @Override
    public CompletionStage<Either<Fault, Placement>> place(PlacementRequest request, Consumer<String> onEnd) {
        Active active = new Active(request, onEnd);
        attempts.put(request.attempt(), active);
        synchronized (targets) {
            align(request.service());
            ask(active);
        }
        return active.result;
    }

    @Override
    public void report(AttemptProgress progress) {
        Active active = attempts.get(progress.attempt());
        if (active == null) {
            return;
        }
        synchronized (targets) {
            active.progress = progress;
            if (progress.phase().isTerminal()) {
                attempts.remove(progress.attempt());
            }
            Target target = targets.get(active.request.service());
            if (target != null && target.local) {
                coordinator.progress(active.request.service(), progress);
            } else if (target != null) {
                peers.send(
                        target.run.node(),
                        Frame.newBuilder()
                                .setProgress(PlacementMessages.toMessage(active.request.service(), progress)));
            }
        }
    }

    @Override
    public void withdraw(String attempt) {
        Active active = attempts.remove(attempt);
        if (active == null) {
            return;
        }
        active.fail(Fault.notRun(FaultKind.UNAVAILABLE, "the attempt was withdrawn", "send the request again"));
        synchronized (targets) {
            sendWithdrawal(active.request);
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }

    private void sendWithdrawal(PlacementRequest request) {
        Target target = targets.get(request.service());
        if (target != null && target.local) {
            coordinator.withdraw(request.service(), request.attempt());
        } else if (target != null) {
            peers.send(
                    target.run.node(),
                    Frame.newBuilder()
                            .setWithdraw(Withdraw.newBuilder()
                                    .setService(request.service())
                                    .setAttempt(request.attempt())));
        }
    }

    private void sweep() {
        try {
            attempts.values().forEach(this::expire);
            synchronized (targets) {
                Set<String> services = new HashSet<>(targets.keySet());
                attempts.values().forEach(active -> services.add(active.request.service()));
                services.forEach(this::align);
                attempts.values().forEach(this::ask);
            }
        } catch (RuntimeException e) {
            System.getLogger(PeerPlacementService.class.getName())
                    .log(System.Logger.Level.ERROR, "The placement sweep failed; the next one goes on.", e);
        }
    }

    private void expire(Active active) {
        long limit = active.request.maxWaitMillis() + ANSWER_MARGIN_MILLIS;
        if (active.result.isDone() || active.getAgeMillis() <= limit) {
            return;
        }
        attempts.remove(active.request.attempt());
        Fault fault = Fault.notRun(
                        FaultKind.UNAVAILABLE,
                        "the coordinator of the pool " + active.request.service() + " did not answer within " + limit
                                + " ms",
                        "send the request again")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        active.fail(fault);
        synchronized (targets) {
            sendWithdrawal(active.request);
        }
    }

    /** Finds the coordinator of a pool; a change makes everything in work known to the new one. */
    private void align(String service) {
        NodeAddress owner = view.get().getOwner(toPoolName(service));
        Optional<Target> next = findTarget(owner);
        Target previous = targets.get(service);
        if (next.isEmpty() || next.get().equals(previous)) {
            return;
        }
        if (previous != null && !previous.run.equals(next.get().run)) {
            release(service, previous);
        }
        targets.put(service, next.get());
        List<Active> own = new ArrayList<>();
        for (Active active : attempts.values()) {
            if (active.request.service().equals(service)) {
                active.asked = Optional.empty();
                own.add(active);
            }
        }
        announce(service, next.get(), own);
    }

    private Optional<Target> findTarget(NodeAddress owner) {
        if (owner.run().equals(self)) {
            return Optional.of(new Target(self, true, 0));
        }
        OptionalLong connection = peers.findConnection(owner.run().node());
        return connection.isPresent()
                ? Optional.of(new Target(owner.run(), false, connection.getAsLong()))
                : Optional.empty();
    }

    private void release(String service, Target previous) {
        if (previous.local) {
            coordinator.retain(service, self, Set.of());
        } else {
            Announce nothing =
                    Announce.newBuilder().setService(service).setLast(true).build();
            peers.send(previous.run.node(), Frame.newBuilder().setAnnounce(nothing));
        }
    }

    private void announce(String service, Target target, List<Active> own) {
        if (target.local) {
            for (Active active : own) {
                active.grant.ifPresent(grant -> coordinator.adopt(
                        toAnnounced(active, grant),
                        self,
                        grant,
                        Optional.ofNullable(active.progress),
                        new OwnListener(active)));
            }
            return;
        }
        Announce.Builder part = Announce.newBuilder().setService(service);
        List<String> named = new ArrayList<>();
        for (Active active : own) {
            named.add(active.request.attempt());
            active.grant.ifPresent(grant -> part.addStarted(toStarted(active, grant)));
            if (part.build().getSerializedSize() > ANNOUNCE_BYTES) {
                peers.send(target.run.node(), Frame.newBuilder().setAnnounce(part.build()));
                part.clearStarted();
            }
        }
        part.setLast(true).addAllOthers(named);
        peers.send(target.run.node(), Frame.newBuilder().setAnnounce(part.build()));
    }

    private static PlacementRequest toAnnounced(Active active, Grant grant) {
        return Requests.afterWaiting(active.request, active.getAgeMillis(), grant.isolated());
    }

    private static Started toStarted(Active active, Grant grant) {
        Started.Builder started = Started.newBuilder()
                .setRequest(PlacementMessages.toMessage(toAnnounced(active, grant)))
                .setStart(PlacementMessages.toMessage(grant));
        if (active.progress != null) {
            started.setProgress(PlacementMessages.toMessage(active.request.service(), active.progress));
        }
        return started.build();
    }

    private void ask(Active active) {
        Target target = targets.get(active.request.service());
        if (target == null
                || active.result.isDone()
                || active.asked.filter(target::equals).isPresent()) {
            return;
        }
        if (!findTarget(view.get().getOwner(toPoolName(active.request.service())))
                .filter(target::equals)
                .isPresent()) {
            return;
        }
        active.asked = Optional.of(target);
        PlacementRequest request = Requests.afterWaiting(active.request, active.getAgeMillis(), false);
        if (target.local) {
            coordinator.place(request, self, new OwnListener(active));
            return;
        }
        Frame.Builder message =
                Frame.newBuilder().setPlace(Place.newBuilder().setRequest(PlacementMessages.toMessage(request)));
        long limit = request.maxWaitMillis() + ANSWER_MARGIN_MILLIS;
        peers.call(target.run.node(), message, limit).whenComplete((reply, cause) -> {
            if (cause == null) {
                takeResult(active, target, reply.getPlaceResult());
            } else {
                askAgain(active, target);
            }
        });
    }

    private void askAgain(Active active, Target target) {
        synchronized (targets) {
            if (active.asked.filter(target::equals).isPresent()) {
                active.asked = Optional.empty();
            }
        }
    }

    private void takeResult(Active active, Target target, PlaceResult result) {
        if (result.hasStart()) {
            take(active, target, PlacementMessages.toGrant(active.request, result.getStart()));
        } else {
            refuse(active, target, PlacementMessages.toRefusal(active.request.attempt(), result.getRefusal()));
        }
    }

    private void take(Active active, Target target, Grant grant) {
        boolean wanted;
        synchronized (targets) {
            wanted = active.asked.filter(target::equals).isPresent()
                    && attempts.get(active.request.attempt()) == active
                    && active.grant.isEmpty();
            if (wanted) {
                active.grant = Optional.of(grant);
            }
        }
        if (!wanted) {
            return;
        }
        String chosen = "prefill " + grant.placement().prefillWorker().id() + ", decode "
                + grant.placement().decodeWorker().id();
        record(active, "place", target, chosen, grant.explanation());
        active.result.complete(Either.right(grant.placement()));
    }

    private void refuse(Active active, Target target, SchedulerDecision.Refuse refusal) {
        synchronized (targets) {
            if (active.grant.isPresent() || !attempts.remove(active.request.attempt(), active)) {
                return;
            }
        }
        record(active, "refuse", target, refusal.kind().toWire(), refusal.explanation());
        Fault fault = new Fault(
                refusal.kind(),
                ExecutionStatus.NO,
                refusal.explanation(),
                remedyOf(refusal.kind()),
                PlacementMessages.retryAfterOf(refusal));
        active.fail(fault);
    }

    private static String remedyOf(FaultKind kind) {
        return switch (kind) {
            case POISON -> "change the request; this content crashes the engines";
            case OVERLOADED -> "send the request again after the stated time, or choose a more patient class";
            case INVALID_REQUEST, TOO_LARGE, NOT_FOUND -> "correct the request";
            default -> "send the request again after the stated time";
        };
    }

    private void end(Active active, String reason) {
        if (attempts.get(active.request.attempt()) != active) {
            return;
        }
        record(active, "end", targets.get(active.request.service()), "end", reason);
        active.onEnd.accept(reason);
    }

    private void record(Active active, String stage, Target target, String chosen, String reason) {
        String attempt = active.request.attempt();
        int dash = attempt.lastIndexOf('-');
        String request = dash > 0 ? attempt.substring(0, dash) : attempt;
        String considered = "attempt " + attempt + " in pool " + active.request.service() + " at coordinator "
                + (target == null ? "unknown" : target.run.node());
        decisions.record(new Decision(System.currentTimeMillis(), request, stage, considered, chosen, reason));
    }

    private void onPlace(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        PlacementRequest request = PlacementMessages.toRequest(frame.getPlace().getRequest());
        coordinator.place(request, from, new RemoteListener(from, request.attempt(), reply));
    }

    private void onProgress(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        PlacementMessages.toProgress(frame.getProgress())
                .ifPresent(progress -> coordinator.progress(frame.getProgress().getService(), progress));
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
        Optional.ofNullable(attempts.get(end.getAttempt())).ifPresent(active -> end(active, end.getReason()));
    }

    /** Names a coordinator and the connection to it. */
    private record Target(NodeRun run, boolean local, long connection) {}

    /** Holds an attempt of this node from the request to its end. */
    private static final class Active {
        private final PlacementRequest request;
        private final Consumer<String> onEnd;
        private final long startNanos = System.nanoTime();
        private final CompletableFuture<Either<Fault, Placement>> result = new CompletableFuture<>();
        private Optional<Target> asked = Optional.empty();
        private Optional<Grant> grant = Optional.empty();
        private AttemptProgress progress;

        Active(PlacementRequest request, Consumer<String> onEnd) {
            this.request = request;
            this.onEnd = onEnd;
        }

        long getAgeMillis() {
            return (System.nanoTime() - startNanos) / 1_000_000;
        }

        void fail(Fault fault) {
            result.complete(Either.left(fault));
        }
    }

    /** Hands decisions of the own coordinator to an attempt. */
    private final class OwnListener implements PlacementListener {
        private final Active active;
        private final Target target = new Target(self, true, 0);

        OwnListener(Active active) {
            this.active = active;
        }

        @Override
        public void onGrant(Grant grant) {
            take(active, target, grant);
        }

        @Override
        public void onRefusal(SchedulerDecision.Refuse refusal) {
            refuse(active, target, refusal);
        }

        @Override
        public void onEnd(String reason) {
            end(active, reason);
        }
    }

    /** Sends decisions to the node that asked. */
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
