package org.magnoliavane.emulator.engine;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Crash;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.engine.DecodeStream.Reader;
import org.magnoliavane.emulator.engine.EngineRequests.DecodeRequest;
import org.magnoliavane.emulator.engine.EngineRequests.Faults;
import org.magnoliavane.emulator.engine.EngineRequests.Order;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillRequest;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.ErrorResponse;
import org.magnoliavane.emulator.http.EventStream;
import org.magnoliavane.emulator.http.ExchangeHandler;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.ServerExchange;
import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;

/**
 * Emulates a model engine with the prefill or the decode role. A single thread advances the time model and handles all
 * requests.
 *
 * <p>Thread-safe.
 */
public final class EngineEmulator implements Emulator {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final EngineThread thread = new EngineThread();
    private final Timers timers = Timers.start("engine-emulator-timers");
    private final AtomicBoolean closed = new AtomicBoolean();
    private final HttpClient http;
    private final KvFetcher fetcher;
    private final ModelLoader loader;
    private final EngineModel model;
    private final Crash crash;
    private final EmulatorServer server;

    private EngineEmulator(EngineOptions options, Optional<Crash> crash) throws IOException {
        this.crash = crash.orElse(Crash.byClosing(this::close));
        http = HttpClient.open("engine-emulator-client");
        fetcher = new KvFetcher(http);
        loader = new ModelLoader(http, timers, options.getWeightStore(), options.getModelLoadMillis());
        String idPrefix = String.format("%08x-", ThreadLocalRandom.current().nextInt());
        model = new EngineModel(options, idPrefix, System::currentTimeMillis, this::crashNow);
        server = EmulatorServer.start("engine-emulator", options.getHost(), options.getPort(), createRoutes());
        thread.start(model);
    }

    /**
     * Starts the emulator in a dedicated process. The crash fault halts the process.
     *
     * @param options the options
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static EngineEmulator start(EngineOptions options) throws IOException {
        return new EngineEmulator(options, Optional.of(Crash.HALT));
    }

    /**
     * Starts the emulator in a process that it shares with other code. The crash fault closes the emulator only.
     *
     * @param arguments the options as on the command line
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static EngineEmulator start(String... arguments) throws IOException {
        return new EngineEmulator(CommandOptions.parse(new EngineOptions(), arguments), Optional.empty());
    }

    @Override
    public int getPort() {
        return server.getPort();
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        server.close();
        thread.close();
        timers.close();
        try {
            http.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private Routes createRoutes() {
        return new Routes()
                .add("POST", "/v1/prefills", onEngineThread(this::prefill))
                .add("GET", "/v1/prefills/{id}/kv", onEngineThread(this::sendKv))
                .add("POST", "/v1/decodes", onEngineThread(this::decode))
                .add("GET", "/v1/decodes/{attempt}", onEngineThread(this::sendStreamState))
                .add("GET", "/v1/decodes/{attempt}/events", onEngineThread(this::resume))
                .add("DELETE", "/v1/attempts/{attempt}", onEngineThread(this::cancel))
                .add("GET", "/v1/load", onEngineThread((exchange, now) -> exchange.send(OK, model.getLoad(now))))
                .add("GET", "/v1/cache-events", onEngineThread(this::sendCacheEvents))
                .add("POST", "/v1/orders", onEngineThread(this::applyOrder))
                .add("POST", "/control", onEngineThread(this::applyFaults))
                .add(
                        "GET",
                        "/control/counters",
                        onEngineThread((exchange, now) -> exchange.send(OK, model.getCounters())));
    }

    private void prefill(ServerExchange exchange, long nowMicros) throws IOException {
        PrefillRequest request = exchange.parseBody(PrefillRequest.class);
        Either<ErrorResponse, Prefill> submitted =
                model.submitPrefill(request, finished -> exchange.send(OK, PrefillDone.of(finished)), nowMicros);
        submitted.peekLeft(exchange::sendError);
        submitted.peek(prefill ->
                exchange.onClose(() -> thread.submit(now -> model.getPrefills().cancelUnfinished(prefill, now))));
    }

    private void sendKv(ServerExchange exchange, long nowMicros) {
        String id = exchange.getPathValue("id");
        AtomicReference<Prefill> sending = new AtomicReference<>();
        model.getPrefills().findFinished(id).ifPresent(sending::set);
        Either<ErrorResponse, KvLink.Transfer> started =
                model.startTransfer(id, sent -> finishTransfer(exchange, sending.get(), sent), nowMicros);
        started.peekLeft(exchange::sendError);
        started.peek(transfer ->
                exchange.onClose(() -> thread.submit(now -> model.getLink().abort(transfer, now))));
    }

    private static void finishTransfer(ServerExchange exchange, Prefill prefill, boolean sent) {
        if (sent) {
            exchange.send(OK, prefill.toKvCache());
            return;
        }
        exchange.sendError(
                new ErrorResponse(NOT_FOUND, "prefill_lapsed", "the prefill was cancelled during the transfer"));
    }

    private void decode(ServerExchange exchange, long nowMicros) throws IOException {
        DecodeRequest request = exchange.parseBody(DecodeRequest.class);
        Either<ErrorResponse, DecodeStream> submitted = model.submitDecode(request, nowMicros);
        if (submitted.isLeft()) {
            exchange.sendError(submitted.getLeft());
            return;
        }
        DecodeStream stream = submitted.get();
        attach(exchange, stream, 0, nowMicros);
        stream.abortFetch = fetcher.fetch(
                request.prefill(),
                cache -> thread.submit(now -> model.getDecodes().importKv(stream, cache, now)),
                (kind, message) -> thread.submit(now -> model.getDecodes().fail(stream, kind, message, now)));
    }

    private void resume(ServerExchange exchange, long nowMicros) {
        int from = (int) exchange.getLongParameter("from", 0);
        Either<ErrorResponse, DecodeStream> found =
                model.getDecodes().attach(exchange.getPathValue("attempt"), from, exchange.findParameter("owner"));
        found.peekLeft(exchange::sendError);
        found.peek(stream -> attach(exchange, stream, from, nowMicros));
    }

    private void attach(ServerExchange exchange, DecodeStream stream, int from, long nowMicros) {
        AtomicReference<Reader> reader = new AtomicReference<>();
        EventStream events = exchange.startEventStream(
                () -> thread.submit(now -> model.getDecodes().detach(stream, reader.get())));
        reader.set(model.getDecodes().setReader(stream, new EventStreamOutput(events), from, nowMicros));
    }

    private void sendStreamState(ServerExchange exchange, long nowMicros) {
        Optional<DecodeStream> found = model.getDecodes().find(exchange.getPathValue("attempt"));
        if (found.isEmpty()) {
            exchange.sendError(
                    new ErrorResponse(NOT_FOUND, "unknown_attempt", "the attempt has ended or never ran here"));
            return;
        }
        exchange.send(OK, StreamState.of(found.get()));
    }

    private void cancel(ServerExchange exchange, long nowMicros) {
        exchange.send(OK, new Cancelled(model.cancel(exchange.getPathValue("attempt"), nowMicros)));
    }

    private void sendCacheEvents(ServerExchange exchange, long nowMicros) {
        exchange.send(OK, model.getCacheEventsAfter(exchange.getLongParameter("after", 0), nowMicros));
    }

    private void applyOrder(ServerExchange exchange, long nowMicros) throws IOException {
        Order order = exchange.parseBody(Order.class);
        Optional<ErrorResponse> error = model.applyOrder(order, nowMicros);
        if (error.isPresent()) {
            exchange.sendError(error.get());
            return;
        }
        if (order.kind().startsWith("load_")) {
            loader.load(
                    order.model(),
                    order.version(),
                    loaded -> thread.submit(now -> model.finishLoading(order.model(), order.version(), loaded)));
        }
        exchange.send(OK, new Accepted(true));
    }

    private void applyFaults(ServerExchange exchange, long nowMicros) throws IOException {
        Faults faults = exchange.parseBodyStrictly(Faults.class);
        model.setFaults(faults, nowMicros);
        if (Boolean.TRUE.equals(faults.silent())) {
            exchange.makeOtherConnectionsUnresponsive();
        }
        exchange.send(OK, faults);
        if (faults.freezeMillis() != null) {
            thread.freeze(faults.freezeMillis());
        }
        if (Boolean.TRUE.equals(faults.crash())) {
            timers.schedule(Crash.RESPONSE_GRACE_MILLIS, crash::crash);
        }
    }

    private void crashNow() {
        crash.crash();
        throw new EngineThread.CrashedException();
    }

    private ExchangeHandler onEngineThread(TimedHandler handler) {
        return exchange -> thread.submit(now -> {
            try {
                handler.handle(exchange, now);
            } catch (IOException | IllegalArgumentException e) {
                exchange.sendError(ErrorResponse.badRequest(String.valueOf(e.getMessage())));
            }
        });
    }

    /** Handles a request on the thread of the engine, at a given time in microseconds. */
    @FunctionalInterface
    private interface TimedHandler {
        void handle(ServerExchange exchange, long nowMicros) throws IOException;
    }

    private record PrefillDone(String prefill, int promptTokens, int cachedTokens, long expiresInMillis) {
        static PrefillDone of(Prefill finished) {
            long retainMillis = Micros.toMillis(finished.expiryMicros - finished.endMicros);
            return new PrefillDone(finished.id, finished.promptTokens, finished.cachedTokens, retainMillis);
        }
    }

    private record StreamState(String attempt, String owner, String caller, int position, String state, int pieces) {
        static StreamState of(DecodeStream stream) {
            return new StreamState(
                    stream.attempt, stream.owner, stream.caller, stream.position, stream.state.toWire(), stream.pieces);
        }
    }

    private record Cancelled(boolean cancelled) {}

    private record Accepted(boolean accepted) {}
}
