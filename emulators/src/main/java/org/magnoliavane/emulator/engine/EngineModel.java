package org.magnoliavane.emulator.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.emulator.engine.EngineRequests.DecodeRequest;
import org.magnoliavane.emulator.engine.EngineRequests.Faults;
import org.magnoliavane.emulator.engine.EngineRequests.Order;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillRequest;
import org.magnoliavane.emulator.http.ErrorResponse;

/**
 * Simulates an engine as a sequence of events and holds its whole state. Times are microseconds of a monotonic clock,
 * which the user of this class supplies.
 *
 * <p>Not thread-safe.
 */
final class EngineModel {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final LongSupplier epochMillis;
    private final Runnable crash;
    private final PieceMemory memory;
    private final CacheEvents cacheEvents;
    private final PrefixCache cache;
    private final Counters counters = new Counters();
    private final PrefillUnit prefills;
    private final KvLink link;
    private final DecodeUnit decodes;
    private final OrderValidator orderValidator;
    private final DelayedLoadReports loadReports;
    private final Map<String, String> models = new TreeMap<>();
    private final TreeSet<String> loading = new TreeSet<>();
    private WorkerRole role;
    private String crashMarker;
    private WorkerRole crashPhase;
    private boolean failTransfers;
    private boolean stallTransfers;

    EngineModel(EngineOptions options, String idPrefix, LongSupplier epochMillis, Runnable crash) {
        this.epochMillis = epochMillis;
        this.crash = crash;
        role = options.getRole();
        crashMarker = options.getCrashMarker();
        crashPhase = options.getCrashPhase();
        options.getModels().forEach(model -> models.put(model, ""));
        memory = new PieceMemory(options.getPieces(), options.getPieceTokens());
        cacheEvents = new CacheEvents(
                options.getSeed(), options.getCacheEventDelayMicros(), options.getCacheEventDropShare());
        cache = new PrefixCache(options.getCachePieces(), cacheEvents);
        prefills = new PrefillUnit(options, idPrefix, memory, cache, counters, createStartListener(WorkerRole.PREFILL));
        link = new KvLink(options.getLinkTokensPerSecond(), prefills);
        decodes = new DecodeUnit(options, memory, counters, createStartListener(WorkerRole.DECODE));
        orderValidator = new OrderValidator(options.isFencingChecked());
        loadReports = new DelayedLoadReports(this::createLoadReport, options.getLoadLagMicros());
    }

    void advance(long nowMicros) {
        link.advance(nowMicros);
        prefills.advance(nowMicros);
        decodes.advance(nowMicros);
        loadReports.advance(nowMicros);
    }

    /** Gets the latest time at which {@link #advance} must be called next, in microseconds. */
    long getNextEventMicros(long nowMicros) {
        long unitsMicros = Math.min(prefills.getNextEventMicros(), decodes.getNextEventMicros(nowMicros));
        return Math.min(unitsMicros, Math.min(link.getNextEventMicros(), loadReports.getNextSnapshotMicros()));
    }

    Either<ErrorResponse, Prefill> submitPrefill(
            PrefillRequest request, Consumer<Prefill> finishListener, long nowMicros) {
        Optional<ErrorResponse> error = findServingError(WorkerRole.PREFILL, request.model());
        if (error.isPresent()) {
            return Either.left(error.get());
        }
        return prefills.submit(request, finishListener, nowMicros);
    }

    Either<ErrorResponse, KvLink.Transfer> startTransfer(String id, Consumer<Boolean> endListener, long nowMicros) {
        if (failTransfers) {
            return Either.left(
                    new ErrorResponse(500, "transfer_failed", "transfers fail because of the fault fail_transfers"));
        }
        Optional<Prefill> prefill = prefills.findFinished(id);
        if (prefill.isEmpty()) {
            return Either.left(new ErrorResponse(
                    NOT_FOUND, "prefill_lapsed", "prefill " + id + " has expired or was transferred"));
        }
        return Either.right(link.startTransfer(prefill.get(), endListener, nowMicros));
    }

    Either<ErrorResponse, DecodeStream> submitDecode(DecodeRequest request, long nowMicros) {
        Optional<ErrorResponse> error = findServingError(WorkerRole.DECODE, request.model());
        if (error.isPresent()) {
            return Either.left(error.get());
        }
        return decodes.submit(request, nowMicros);
    }

    boolean cancel(String attempt, long nowMicros) {
        boolean prefill = prefills.cancel(attempt, nowMicros);
        boolean decode = decodes.cancel(attempt, nowMicros);
        return prefill || decode;
    }

    /**
     * Applies an order and returns the error if it is rejected. The loading of a model is only recorded; the user of
     * this class has to start it.
     */
    Optional<ErrorResponse> applyOrder(Order order, long nowMicros) {
        Optional<ErrorResponse> error =
                findOrderError(order).or(() -> orderValidator.findError(order, epochMillis.getAsLong()));
        if (error.isPresent()) {
            counters.ordersRefused++;
            return error;
        }
        counters.ordersAccepted++;
        switch (order.kind()) {
            case "set_role":
                setRole(WorkerRole.parse(order.role()).orElseThrow(), nowMicros);
                break;
            case "unload_model":
                models.remove(order.model());
                break;
            default:
                loading.add(order.model());
                break;
        }
        return Optional.empty();
    }

    void finishLoading(String model, String version, boolean loaded) {
        if (loading.remove(model) && loaded) {
            models.put(model, version == null ? "" : version);
        }
    }

    void setFaults(Faults faults, long nowMicros) {
        crashMarker = Optional.ofNullable(faults.crashMarker()).orElse(crashMarker);
        Optional.ofNullable(faults.crashPhase()).ifPresent(phase -> crashPhase = parseRole("crash_phase", phase));
        failTransfers = Optional.ofNullable(faults.failTransfers()).orElse(failTransfers);
        stallTransfers = Optional.ofNullable(faults.stallTransfers()).orElse(stallTransfers);
        link.setStalled(stallTransfers, nowMicros);
        Optional.ofNullable(faults.loadLagMillis()).map(Micros::ofMillis).ifPresent(loadReports::setLagMicros);
        Optional.ofNullable(faults.cacheEventDelayMillis())
                .map(Micros::ofMillis)
                .ifPresent(cacheEvents::setDelayMicros);
        Optional.ofNullable(faults.cacheEventDropShare()).ifPresent(cacheEvents::setDropShare);
        Optional.ofNullable(faults.checkFencing()).ifPresent(orderValidator::setFencingChecked);
    }

    PrefillUnit getPrefills() {
        return prefills;
    }

    KvLink getLink() {
        return link;
    }

    DecodeUnit getDecodes() {
        return decodes;
    }

    CacheEvents.Page getCacheEventsAfter(long after, long nowMicros) {
        return cacheEvents.getAfter(after, nowMicros);
    }

    LoadReport getLoad(long nowMicros) {
        return loadReports.getDelayedReport(nowMicros);
    }

    Counters.View getCounters() {
        Map<String, Integer> byState = new TreeMap<>();
        createAttemptReports().forEach(attempt -> byState.merge(attempt.phase(), 1, Integer::sum));
        return counters.toView(memory.getUsed(), memory.getTotal(), byState);
    }

    private LoadReport createLoadReport() {
        int active = 0;
        int waiting = 0;
        for (DecodeStream stream : decodes.getAll()) {
            active += stream.state == DecodeStream.State.DECODING ? 1 : 0;
            waiting += stream.state.isTerminal() || stream.state == DecodeStream.State.DECODING ? 0 : 1;
        }
        return new LoadReport(
                epochMillis.getAsLong(),
                role.toWire(),
                memory.getTotal(),
                memory.getFree(),
                active + (prefills.isRunning() ? 1 : 0),
                waiting + prefills.getQueuedCount(),
                prefills.getQueuedTokens(),
                List.copyOf(models.keySet()),
                new TreeMap<>(models),
                List.copyOf(loading),
                createAttemptReports().stream()
                        .filter(attempt -> attempt.pieces() > 0)
                        .toList());
    }

    private List<LoadReport.Attempt> createAttemptReports() {
        List<LoadReport.Attempt> attempts = new ArrayList<>();
        for (Prefill prefill : prefills.getAll()) {
            attempts.add(new LoadReport.Attempt(
                    prefill.attempt, "", prefill.state.toWire(), prefill.pieces, 0, prefill.isAwaited()));
        }
        for (DecodeStream stream : decodes.getAll()) {
            attempts.add(new LoadReport.Attempt(
                    stream.attempt,
                    stream.owner,
                    stream.state.toWire(),
                    stream.pieces,
                    stream.position,
                    stream.reader != null));
        }
        return attempts;
    }

    private Consumer<String> createStartListener(WorkerRole phase) {
        return prompt -> {
            if (crashPhase == phase && !crashMarker.isEmpty() && prompt.contains(crashMarker)) {
                crash.run();
            }
        };
    }

    private Optional<ErrorResponse> findServingError(WorkerRole requiredRole, String model) {
        if (role != requiredRole) {
            return Optional.of(
                    new ErrorResponse(CONFLICT, "wrong_role", "the role of this engine is " + role.toWire()));
        }
        if (!models.containsKey(model)) {
            String message = "model " + model + " is not loaded; loaded are " + models.keySet();
            return Optional.of(new ErrorResponse(NOT_FOUND, "unknown_model", message));
        }
        return Optional.empty();
    }

    private void setRole(WorkerRole newRole, long nowMicros) {
        if (newRole != role) {
            cache.clear(nowMicros);
        }
        role = newRole;
    }

    private static Optional<ErrorResponse> findOrderError(Order order) {
        switch (order.kind()) {
            case "load_model", "load_adapter", "unload_model":
                return order.model() == null ? badRequest("model is missing") : Optional.empty();
            case "set_role":
                boolean valid = "prefill".equals(order.role()) || "decode".equals(order.role());
                return valid ? Optional.empty() : badRequest("role must be prefill or decode, got " + order.role());
            default:
                return badRequest(
                        "kind must be load_model, load_adapter, unload_model or set_role, got " + order.kind());
        }
    }

    private static Optional<ErrorResponse> badRequest(String message) {
        return Optional.of(new ErrorResponse(BAD_REQUEST, "bad_request", message));
    }

    private static WorkerRole parseRole(String name, String text) {
        return WorkerRole.parse(text)
                .filter(parsed -> parsed != WorkerRole.PLAIN)
                .orElseThrow(() -> new IllegalArgumentException(name + " must be prefill or decode, got " + text));
    }
}
