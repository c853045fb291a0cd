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
 * Runs model requests on the engines and resumes streams that another node or an earlier connection has started.
 *
 * <p>Thread-safe.
 */
public final class ModelDispatcher {
    private static final String OMIT_EVENT_ID_REMEDY = "send the request again without Last-Event-ID";

    private final DispatchContext context;
    /** Unfinished runs by request id; a request has at most one at this node. */
    private final Map<String, ModelRun> runs = new ConcurrentHashMap<>();

    private ModelDispatcher(DispatchContext context) {
        this.context = context;
    }

    /**
     * Creates a dispatcher.
     *
     * @param self the run of this node, which owns the streams
     * @param httpClient sends requests to engines
     * @param placements requests workers for attempts
     * @param view provides the cluster view with the backend servers
     * @param timers runs timers; must be shut down by the caller of this method
     * @param decisions records the decisions
     * @param metrics holds the metrics of the node
     * @return the dispatcher
     */
    public static ModelDispatcher create(
            NodeRun self,
            HttpClient httpClient,
            PlacementService placements,
            Supplier<ClusterView> view,
            ScheduledExecutorService timers,
            DecisionLog decisions,
            MetricRegistry metrics) {
        EngineClient engineClient = new EngineClient(httpClient, self);
        AttemptCanceller canceller = new AttemptCanceller(engineClient, view, timers);
        return new ModelDispatcher(
                new DispatchContext(engineClient, canceller, placements, view, timers, decisions, metrics));
    }

    /**
     * Starts a request.
     *
     * @param modelRequest the request
     * @param listener receives the answer
     * @return the run
     */
    public ModelRun start(ModelRequest modelRequest, AnswerListener listener) {
        ModelRun run = register(modelRequest, listener);
        run.start();
        return run;
    }

    /**
     * Resumes the stream of an attempt after a position.
     *
     * @param modelRequest the request, with the id of the original request
     * @param position the last position that the caller has received
     * @param listener receives the rest of the answer
     * @return the run, or the fault when the stream is unknown or belongs to another caller or request
     */
    public CompletionStage<Either<Fault, ModelRun>> resume(
            ModelRequest modelRequest, StreamPosition position, AnswerListener listener) {
        Optional<BackendServer> worker =
                context.view().get().findServer(position.worker()).filter(w -> w.role() == WorkerRole.DECODE);
        if (worker.isEmpty()) {
            String message = "Last-Event-ID names worker " + position.worker() + ", which no longer exists";
            return CompletableFuture.completedFuture(
                    Either.left(Fault.unknownOutcome(FaultKind.NOT_FOUND, message, OMIT_EVENT_ID_REMEDY)));
        }
        return context.engineClient()
                .fetchStatus(worker.get(), position.attempt())
                .handle((status, cause) -> {
                    Optional<Fault> refusal = cause != null
                            ? Optional.of(toUnreachableFault(position, cause))
                            : findResumeFault(modelRequest, position, status);
                    refusal.ifPresent(fault -> recordDecision(modelRequest, position, "refuse", fault.message()));
                    return refusal.<Either<Fault, ModelRun>>map(Either::left)
                            .orElseGet(() -> Either.right(takeOver(modelRequest, position, worker.get(), listener)));
                });
    }

    /**
     * Gets the number of unfinished runs.
     *
     * @return the number of runs
     */
    public int countRunning() {
        return runs.size();
    }

    private ModelRun takeOver(
            ModelRequest modelRequest, StreamPosition position, BackendServer worker, AnswerListener listener) {
        recordDecision(
                modelRequest,
                position,
                position.toString(),
                "the engine knows the attempt, which belongs to this caller");
        context.incrementCounter("streams.resumed");
        ModelRun previous = runs.get(modelRequest.id());
        if (previous != null) {
            previous.supersede();
        }
        ModelRun run = register(modelRequest, listener);
        run.resume(worker, position.attempt(), position.position());
        return run;
    }

    private ModelRun register(ModelRequest modelRequest, AnswerListener listener) {
        ModelRun run = new ModelRun(modelRequest, context, listener);
        runs.put(modelRequest.id(), run);
        run.getOutcome().whenComplete((outcome, cause) -> runs.remove(modelRequest.id(), run));
        return run;
    }

    private void recordDecision(ModelRequest modelRequest, StreamPosition position, String chosen, String reason) {
        new RequestDecisions(context.decisions(), modelRequest.id())
                .record("resume", "stream " + position, chosen, reason);
    }

    private static Optional<Fault> findResumeFault(
            ModelRequest modelRequest, StreamPosition position, Optional<DecodeAttemptStatus> status) {
        if (status.isEmpty()) {
            String message = "worker " + position.worker() + " does not know attempt " + position.attempt();
            return Optional.of(Fault.unknownOutcome(FaultKind.NOT_FOUND, message, OMIT_EVENT_ID_REMEDY));
        }
        if (!status.get().belongsToCaller(modelRequest)) {
            String message = "the stream named by Last-Event-ID belongs to another caller";
            return Optional.of(Fault.notRun(FaultKind.FORBIDDEN, message, OMIT_EVENT_ID_REMEDY));
        }
        if (!status.get().matchesContent(modelRequest)) {
            String message = "the stream named by Last-Event-ID belongs to another request of this caller";
            return Optional.of(Fault.unknownOutcome(
                    FaultKind.INVALID_REQUEST, message, "send the id of the last event that this request received"));
        }
        if (position.position() > status.get().position()) {
            String message = "Last-Event-ID names position " + position.position() + ", but the stream has only "
                    + status.get().position() + " tokens";
            return Optional.of(Fault.unknownOutcome(FaultKind.INVALID_REQUEST, message, OMIT_EVENT_ID_REMEDY));
        }
        return Optional.empty();
    }

    private static Fault toUnreachableFault(StreamPosition position, Throwable cause) {
        return new Fault(
                FaultKind.BACKEND_FAILED,
                ExecutionStatus.UNKNOWN,
                "worker " + position.worker() + " cannot be reached to resume the stream: " + cause.getMessage(),
                OMIT_EVENT_ID_REMEDY,
                OptionalLong.of(0));
    }
}
