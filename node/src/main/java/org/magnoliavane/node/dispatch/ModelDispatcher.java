package org.magnoliavane.node.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.magnoliavane.BackendServer;
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.node.placement.PlacementService;

/**
 * Runs model requests on the engines, and takes over streams that another node, or an older connection, has started.
 *
 * <p>Thread-safe.
 */
public final class ModelDispatcher {
    private static final String WITHOUT_ID = "send the request again without Last-Event-ID";

    private final DispatchContext parts;
    /** The runs by request id; a request has one run at this node. */
    private final Map<String, ModelRun> running = new ConcurrentHashMap<>();

    private ModelDispatcher(DispatchContext parts) {
        this.parts = parts;
    }

    /**
     * Creates a dispatcher.
     *
     * @param self this run of the node, which owns the streams
     * @param client sends requests to engines
     * @param placements asks for workers
     * @param view gets the backend servers
     * @param timers runs timers; the caller stops it
     * @param decisions records the decisions
     * @param metrics counts events
     * @return the dispatcher
     */
    public static ModelDispatcher create(
            NodeRun self,
            HttpClient client,
            PlacementService placements,
            Supplier<ClusterView> view,
            ScheduledExecutorService timers,
            DecisionLog decisions,
            MetricRegistry metrics) {
        EngineClient engines = new EngineClient(client, self);
        AttemptCanceller canceller = new AttemptCanceller(engines, view, timers);
        return new ModelDispatcher(
                new DispatchContext(engines, canceller, placements, view, timers, decisions, metrics));
    }

    /**
     * Starts a request.
     *
     * @param call the request
     * @param listener receives the answer
     * @return the run
     */
    public ModelRun start(ModelRequest call, AnswerListener listener) {
        ModelRun run = register(call, listener);
        run.start();
        return run;
    }

    /**
     * Takes over the stream of an attempt after a position.
     *
     * @param call the request, with the id of the original request
     * @param position the last position that the caller has received
     * @param listener receives the rest of the answer
     * @return the run, or the fault when the stream is unknown, or belongs to another caller or request
     */
    public CompletionStage<Either<Fault, ModelRun>> resume(
            ModelRequest call, StreamPosition position, AnswerListener listener) {
        Optional<BackendServer> worker =
                parts.view().get().findServer(position.worker()).filter(w -> w.role() == WorkerRole.DECODE);
        if (worker.isEmpty()) {
            String message = "Last-Event-ID names worker " + position.worker() + ", which is gone";
            return CompletableFuture.completedFuture(
                    Either.left(Fault.unknownOutcome(FaultKind.NOT_FOUND, message, WITHOUT_ID)));
        }
        return parts.engines().describe(worker.get(), position.attempt()).handle((found, cause) -> {
            Optional<Fault> refusal =
                    cause != null ? Optional.of(unreachable(position, cause)) : checkAttempt(call, position, found);
            refusal.ifPresent(fault -> log(call, position, "refuse", fault.message()));
            return refusal.<Either<Fault, ModelRun>>map(Either::left)
                    .orElseGet(() -> Either.right(takeOver(call, position, worker.get(), listener)));
        });
    }

    /**
     * Counts the runs that have not ended.
     *
     * @return the number of runs
     */
    public int countRunning() {
        return running.size();
    }

    private ModelRun takeOver(
            ModelRequest call, StreamPosition position, BackendServer worker, AnswerListener listener) {
        log(call, position, position.toString(), "the engine has the attempt and it belongs to the caller");
        parts.count("streams.resumed");
        ModelRun old = running.get(call.request());
        if (old != null) {
            old.supersede();
        }
        ModelRun run = register(call, listener);
        run.resume(worker, position.attempt(), position.position());
        return run;
    }

    private ModelRun register(ModelRequest call, AnswerListener listener) {
        ModelRun run = new ModelRun(call, parts, listener);
        running.put(call.request(), run);
        run.getOutcome().whenComplete((outcome, cause) -> running.remove(call.request(), run));
        return run;
    }

    private void log(ModelRequest call, StreamPosition position, String chosen, String reason) {
        new RequestDecisions(parts.decisions(), call.request()).record("resume", "stream " + position, chosen, reason);
    }

    private static Optional<Fault> checkAttempt(
            ModelRequest call, StreamPosition position, Optional<EngineAttempt> found) {
        if (found.isEmpty()) {
            String message = "worker " + position.worker() + " does not know attempt " + position.attempt();
            return Optional.of(Fault.unknownOutcome(FaultKind.NOT_FOUND, message, WITHOUT_ID));
        }
        if (!found.get().isOfCaller(call)) {
            String message = "the stream named by Last-Event-ID belongs to another caller";
            return Optional.of(Fault.notRun(FaultKind.FORBIDDEN, message, WITHOUT_ID));
        }
        if (!found.get().isForContent(call)) {
            String message = "the stream named by Last-Event-ID answers another request of this caller";
            return Optional.of(Fault.unknownOutcome(
                    FaultKind.INVALID_REQUEST, message, "send the id of the last event that this request received"));
        }
        if (position.position() > found.get().position()) {
            String message = "Last-Event-ID names position " + position.position() + ", but the stream has only "
                    + found.get().position() + " tokens";
            return Optional.of(Fault.unknownOutcome(FaultKind.INVALID_REQUEST, message, WITHOUT_ID));
        }
        return Optional.empty();
    }

    private static Fault unreachable(StreamPosition position, Throwable cause) {
        return new Fault(
                FaultKind.BACKEND_FAILED,
                ExecutionStatus.UNKNOWN,
                "worker " + position.worker() + " cannot be asked for the stream: " + cause.getMessage(),
                WITHOUT_ID,
                OptionalLong.of(0));
    }
}
