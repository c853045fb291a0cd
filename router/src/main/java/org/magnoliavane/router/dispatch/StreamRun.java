package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.EventFramer;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.routing.EngineProfile;

/**
 * Runs a streamed request to a model: prefill at one worker, decode at another, which fetches the KV cache. Memory at the
 * decode worker is reserved before the prefill starts, so that no prefill is done in vain.
 *
 * <p>A KV cache can be taken once. So a decode that got no sign of life may be sent to a second worker with the same
 * cache: at most one of the two can run it.
 */
final class StreamRun extends Run {
    /** Tokens that a prefill worker reads in a millisecond; the sheets of both deployments say 55.6. */
    static final double PREFILL_TOKENS_PER_MILLI = 55;

    /** Time that a prefill may take beyond twice its expected time, for connection, queue and answer. */
    private static final long PREFILL_SLACK_MILLIS = 250;

    /** Largest number of prefills for one request; after that the decode worker reads the prompt itself. */
    private static final int MAX_PREFILLS = 2;

    /** Largest number of decode sends that did not run, for one request. */
    private static final int MAX_REFUSED_DECODES = 3;

    /** Time without a sign of life after which a decode is also sent to a second worker; well within a cache's life. */
    private static final long TAKEOVER_MILLIS = 220;

    /** Part of a cache's life that must be left for another send. */
    private static final long CACHE_MARGIN_MILLIS = 100;

    /** Pause between events after which a resumable stream goes on elsewhere; callers give up after two seconds. */
    private static final long STALL_MILLIS = 1200;

    /** Pause between looks for room when all decode workers are full. */
    private static final long ROOM_RETRY_MILLIS = 20;

    /** Share of the caller's patience that a request waits for room; later it could hardly be on time. */
    private static final double MAX_WAIT_SHARE = 0.25;

    private final Generation generation;
    private final EventFramer framer = new EventFramer();
    private final List<WorkerSend> decodes = new ArrayList<>();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private Optional<ListedWorker> reserved = Optional.empty();
    private Optional<WorkerSend> prefill = Optional.empty();
    private Optional<StreamWriter> writer = Optional.empty();
    private ByteArrayOutputStream prefillBody = new ByteArrayOutputStream();
    private Map<String, String> headers = Map.of();
    private int status;
    private int prefills;
    private int refusedDecodes;
    private int ranOn;
    private long cacheMillis;
    private long lastEventMillis;

    StreamRun(DispatchParts parts, CallerCall call, String service, CallerAnswer answer) {
        super(parts, call, service, answer);
        this.generation = call.head().generation().orElse(new Generation(0, 0, 0));
    }

    @Override
    void begin() {
        place();
    }

    private Collection<ListedWorker> workers() {
        return parts.fleet().getWorkers(service);
    }

    private Optional<EngineProfile> engine() {
        return parts.fleet().getRouting().flatMap(r -> r.findService(service)).flatMap(s -> s.engine());
    }

    private void place() {
        Optional<EngineProfile> engine = engine();
        Optional<ListedWorker> decode = engine.isPresent()
                ? parts.placement().chooseDecode(workers(), engine.get(), generation.memoryTokens(), excluded, now())
                : parts.placement().choosePlain(workers(), excluded, now());
        if (decode.isEmpty()) {
            waitForRoom();
            return;
        }
        Optional<ListedWorker> reader = prefills < MAX_PREFILLS && generation.promptTokens() > 0
                ? parts.placement().choosePrefill(workers(), excluded, now())
                : Optional.empty();
        if (reader.isEmpty() || prefills > 0 && !parts.budgets().tryTake(service)) {
            sendDecode(decode.get(), Optional.empty());
            return;
        }
        reserve(decode.get());
        sendPrefill(reader.get());
    }

    private void waitForRoom() {
        long waited = now() - call.arrivalMillis();
        boolean listed = workers().stream().anyMatch(w -> !w.server().leaving() && !excluded.contains(w.id()));
        if (!listed || waited > MAX_WAIT_SHARE * (call.limitMillis() - call.arrivalMillis())) {
            giveUp(listed ? "all workers are full" : "no worker is available", NO_WORKER_RETRY_MILLIS);
            return;
        }
        after(ROOM_RETRY_MILLIS, this::place);
    }

    private void sendPrefill(ListedWorker worker) {
        prefills++;
        prefillBody = new ByteArrayOutputStream();
        int queued = parts.ledger().countTokens(worker.id(), now());
        long expected = (long) ((queued + generation.promptTokens()) / PREFILL_TOKENS_PER_MILLI);
        WorkerCall to = new WorkerCall(worker, remainingMillis(), true, Optional.empty(), lastEventId());
        WorkerSend send = WorkerSend.start(parts, call, to, generation.promptTokens(), serial, this);
        prefill = Optional.of(send);
        after(2 * expected + PREFILL_SLACK_MILLIS, () -> {
            if (prefill.isPresent() && prefill.get() == send) {
                log("prefill_silent", send, "millis=" + send.getAgeMillis() + " expected=" + expected);
                send.cancelAsSilent();
                prefillFailed(send);
            }
        });
    }

    private void prefillFailed(WorkerSend send) {
        prefill = Optional.empty();
        excluded.add(send.worker().id());
        release();
        place();
    }

    private void prefillDone(WorkerSend send) {
        prefill = Optional.empty();
        try {
            CacheHandle cache = parts.wire().readCacheHandle(send.workerCall(), prefillBody.toByteArray());
            cacheMillis = now();
            Optional<ListedWorker> decode = reserved.filter(w -> !parts.ledger().isAvoided(w.id(), now()))
                    .or(() -> chooseDecode());
            release();
            if (decode.isPresent()) {
                sendDecode(decode.get(), Optional.of(cache));
            } else {
                waitForRoom();
            }
        } catch (IOException e) {
            log("prefill_unreadable", send, "reason=\"" + e.getMessage() + '"');
            prefillFailed(send);
        }
    }

    private Optional<ListedWorker> chooseDecode() {
        return engine().flatMap(
                        e -> parts.placement().chooseDecode(workers(), e, generation.memoryTokens(), excluded, now()));
    }

    private void sendDecode(ListedWorker worker, Optional<CacheHandle> cache) {
        sends++;
        WorkerCall to = new WorkerCall(worker, remainingMillis(), false, cache, lastEventId());
        WorkerSend send = WorkerSend.start(parts, call, to, generation.memoryTokens(), serial, this);
        decodes.add(send);
        lastEventMillis = now();
        if (cache.isPresent() && decodes.size() == 1) {
            after(TAKEOVER_MILLIS, () -> takeOver(send, cache.get()));
        }
        if (call.route().resumable() && decodes.size() == 1) {
            after(STALL_MILLIS, () -> checkStall(send));
        }
    }

    /** Offers the KV cache to a second worker when the first one shows no sign of life. */
    private void takeOver(WorkerSend silent, CacheHandle cache) {
        long life = engine().map(EngineProfile::handleMillis).orElse(0L);
        boolean open = decodes.size() == 1 && decodes.get(0) == silent && !silent.isAnswered();
        if (!open || now() - cacheMillis > life - CACHE_MARGIN_MILLIS) {
            return;
        }
        excluded.add(silent.worker().id());
        Optional<ListedWorker> second = chooseDecode();
        if (second.isPresent() && parts.budgets().tryTake(service)) {
            log("take_over", silent, "second=" + second.get().id() + " millis=" + silent.getAgeMillis());
            sendDecode(second.get(), Optional.of(cache));
        }
    }

    private void checkStall(WorkerSend send) {
        if (!decodes.contains(send)) {
            return;
        }
        long pause = now() - lastEventMillis;
        if (pause < STALL_MILLIS) {
            after(STALL_MILLIS - pause, () -> checkStall(send));
            return;
        }
        if (ranOn + 1 < call.route().maxAttempts() && parts.budgets().tryTake(service)) {
            log("stalled", send, "millis=" + pause);
            send.cancelAsSilent();
            decodes.remove(send);
            decodeLost(send, "no event for " + pause + " ms", true);
        }
    }

    private Optional<String> lastEventId() {
        return framer.getLastId().or(() -> call.head().lastEventId());
    }

    @Override
    public void onHead(WorkerSend send, int responseStatus, Map<String, String> responseHeaders) {
        if (isPrefill(send)) {
            if (responseStatus != 200) {
                log("prefill_error", send, "status=" + responseStatus);
                send.cancel();
                prefillFailed(send);
            }
            return;
        }
        for (WorkerSend other : List.copyOf(decodes)) {
            if (other != send) {
                log("taken_over", other, "by=" + send.worker().id());
                other.cancelAsSilent();
                decodes.remove(other);
            }
        }
        mayHaveRun = true;
        if (writer.isEmpty()) {
            status = responseStatus;
            headers = responseHeaders;
        }
    }

    @Override
    public void onBytes(WorkerSend send, byte[] bytes) {
        if (isPrefill(send)) {
            prefillBody.writeBytes(bytes);
            return;
        }
        if (status >= 300) {
            errorBody.writeBytes(bytes);
            return;
        }
        byte[] events = framer.feed(bytes);
        if (events.length == 0) {
            return;
        }
        lastEventMillis = now();
        if (writer.isEmpty()) {
            writer = answer.begin(status, parts.wire().toCallerHeaders(headers));
            parts.metrics().histogram("streams.first_event_millis").update(now() - call.arrivalMillis());
        }
        writer.ifPresent(w -> w.write(events));
    }

    @Override
    public void onEnd(WorkerSend send) {
        if (isPrefill(send)) {
            prefillDone(send);
            return;
        }
        decodes.remove(send);
        if (status >= 300) {
            end("answered", "worker=" + send.worker().id() + " status=" + status);
            answer.answer(status, parts.wire().toCallerHeaders(headers), errorBody.toByteArray());
        } else if (framer.isWithinEvent()) {
            decodeLost(send, "the stream ended within an event", false);
        } else {
            finishStream(send);
        }
    }

    private void finishStream(WorkerSend send) {
        end("answered", "worker=" + send.worker().id() + " status=" + status);
        if (writer.isPresent()) {
            writer.get().end();
        } else {
            answer.answer(status, parts.wire().toCallerHeaders(headers), new byte[0]);
        }
    }

    @Override
    public void onNotRun(WorkerSend send, String reason) {
        log("not_run", send, "prefill=" + isPrefill(send) + " reason=\"" + reason + '"');
        if (isPrefill(send)) {
            prefillFailed(send);
            return;
        }
        decodes.remove(send);
        if (!decodes.isEmpty()) {
            return;
        }
        boolean unreachable = reason.equals("unreachable");
        excluded.add(send.worker().id());
        Optional<CacheHandle> cache = send.workerCall().cache().filter(c -> unreachable && cacheMayLive());
        Optional<ListedWorker> next = cache.flatMap(c -> chooseDecode());
        if (next.isPresent()) {
            sends--;
            sendDecode(next.get(), cache);
            return;
        }
        refusedDecodes++;
        if (refusedDecodes >= MAX_REFUSED_DECODES || !parts.budgets().tryTake(service)) {
            loseStream(reason);
            return;
        }
        if (!unreachable && send.workerCall().cache().isPresent()) {
            // The cache was gone rather than the worker full; the worker may take the request with another cache.
            excluded.remove(send.worker().id());
        }
        place();
    }

    private boolean cacheMayLive() {
        long life = engine().map(EngineProfile::handleMillis).orElse(0L);
        return now() - cacheMillis < life;
    }

    @Override
    public void onBroken(WorkerSend send, String reason) {
        log(
                "broken",
                send,
                "prefill=" + isPrefill(send) + " millis=" + send.getAgeMillis() + " reason=\"" + reason + '"');
        if (isPrefill(send)) {
            prefillFailed(send);
            return;
        }
        decodes.remove(send);
        if (decodes.isEmpty()) {
            decodeLost(send, reason, false);
        }
    }

    /** Goes on elsewhere after a decode that may have run, where the stream may be resumed. */
    private void decodeLost(WorkerSend send, String reason, boolean paid) {
        mayHaveRun = true;
        ranOn++;
        excluded.add(send.worker().id());
        framer.dropOpenEvent();
        boolean again = call.route().resumable() && ranOn < call.route().maxAttempts();
        if (again && (paid || parts.budgets().tryTake(service))) {
            place();
            return;
        }
        loseStream(reason);
    }

    private void loseStream(String reason) {
        if (writer.isEmpty()) {
            giveUp(reason, NO_WORKER_RETRY_MILLIS);
            return;
        }
        end("broken_off", "reason=\"" + reason + '"');
        answer.breakOff();
    }

    @Override
    void timeOut() {
        if (writer.isPresent()) {
            loseStream("time limit reached");
            return;
        }
        if (decodes.isEmpty() && !mayHaveRun) {
            giveUp("no worker could take the request in time", NO_WORKER_RETRY_MILLIS);
            return;
        }
        super.timeOut();
    }

    @Override
    void cancelSends() {
        prefill.ifPresent(WorkerSend::cancel);
        prefill = Optional.empty();
        decodes.forEach(WorkerSend::cancel);
        decodes.clear();
        release();
    }

    private boolean isPrefill(WorkerSend send) {
        return send.workerCall().prefillOnly();
    }

    private void reserve(ListedWorker worker) {
        reserved = Optional.of(worker);
        parts.ledger().start(worker.id(), generation.memoryTokens());
    }

    private void release() {
        reserved.ifPresent(w -> parts.ledger().end(w.id(), generation.memoryTokens()));
        reserved = Optional.empty();
    }
}
