package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.EngineProfile;

/**
 * Runs a streamed request to a model: prefill at one worker, decode at another, which fetches the KV cache. Memory at the
 * decode worker is reserved before the prefill starts, so that no prefill is done in vain.
 *
 * <p>A resumable stream that got no sign of life is also sent to a second worker with the same KV cache, which only one of
 * the two can take. Other streams are not: a request that crashes its worker has run without having taken the cache.
 */
final class StreamRun extends Run implements AdmissionQueues.Waiting {
    /** Time that a prefill takes for each token on an idle worker; measured on both sites, a third above the sheets. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.034;

    /** Time that a prefill takes whatever its size: connection, first step, answer. */
    private static final long PREFILL_BASE_MILLIS = 25;

    /** Time from the end of a prefill to the first event, as measured on both sites, with a reserve. */
    private static final long FIRST_EVENT_MILLIS = 80;

    /** How many times its expected time a prefill may take before its worker is taken for dead. */
    private static final int PREFILL_PATIENCE = 3;

    /** Time that a prefill may take beyond that, for sends of other nodes that are not known yet. */
    private static final long PREFILL_SLACK_MILLIS = 600;

    /** Prompt tokens that may wait at a prefill worker; memory at the decode worker is held meanwhile. */
    private static final int MAX_QUEUED_TOKENS = 16_000;

    /** Time that is left for the way to the caller when a request that waits is given up. */
    private static final long RETURN_LEAD_MILLIS = 150;

    /** Bounds of the time after which a caller that found all workers full may come back; drawn, so that few do at once. */
    private static final long MIN_FULL_RETRY_MILLIS = 800;

    private static final long MAX_FULL_RETRY_MILLIS = 2500;

    /** Largest number of prefills for one request; after that the decode worker reads the prompt itself. */
    private static final int MAX_PREFILLS = 2;

    /** Largest number of decode sends that did not run, for one request. */
    private static final int MAX_REFUSED_DECODES = 6;

    /** Time without a sign of life after which a decode is also sent to a second worker; well within a cache's life. */
    private static final long TAKEOVER_MILLIS = 220;

    /** Time for which a worker whose steward had no room is not asked again. */
    private static final long DENIED_MILLIS = 100;

    /** Time for which a worker that refused for lack of memory gets nothing; some of its requests end within it. */
    private static final long FULL_MILLIS = 120;

    /** Time for which a worker that has room and refuses all the same gets nothing while there are others. */
    private static final long NOT_DECODING_MILLIS = 1500;

    /** Pause after which a request that needs an extra send looks at the budget again. */
    private static final long BUDGET_PAUSE_MILLIS = 100;

    /** Share of its memory below which a decode worker can't be full, whatever the estimates miss. */
    private static final double MUCH_ROOM_SHARE = 0.7;

    /** Part of a cache's life that must be left for another send. */
    private static final long CACHE_MARGIN_MILLIS = 60;

    /** Pause between events after which a resumable stream goes on elsewhere; callers give up after two seconds. */
    private static final long STALL_MILLIS = 1200;

    private final GenerationSize generation;
    private final StreamAnswer stream;
    private final List<WorkerSend> decodes = new ArrayList<>();
    private Optional<ListedWorker> reserved = Optional.empty();
    private ReservationService.Reservation room = () -> {};
    private Optional<WorkerSend> prefill = Optional.empty();
    private final PromptCache cache = new PromptCache();
    private ByteArrayOutputStream prefillBody = new ByteArrayOutputStream();
    private volatile boolean waiting;
    private int prefills;
    private int refusedDecodes;
    private boolean hadRoom;
    private int ranOn;
    private long lastEventMillis;
    private long longestPauseMillis;

    StreamRun(DispatchContext parts, CallerRequest call, String service, CallerResponse answer) {
        super(parts, call, service, answer);
        this.stream = new StreamAnswer(answer, parts.wire());
        this.generation = call.metadata().generation().orElse(new GenerationSize(0, 0, 0));
    }

    @Override
    void begin() {
        place();
    }

    /** Waits for room; the queue calls {@link #tryPlace} at once when there is some. */
    private void place() {
        if (!hasWorkers()) {
            loseStream("no worker is available");
            return;
        }
        waiting = true;
        long expected = prefillMillis(generation.promptTokens());
        // A prompt that has been read would be read in vain if its request had to stand behind those that came later.
        long startBy = stream.isBegun() || cache.findReader().isPresent()
                ? hopelessMillis()
                : call.arrivalMillis() + call.route().targetMillis() - expected - FIRST_EVENT_MILLIS;
        parts.rooms().enqueue(service, this, call.arrivalMillis(), startBy);
        if (waiting) {
            after(hopelessMillis() - now(), this::giveUpWaiting);
        }
    }

    /** Gets the time after which the first event could not reach the caller before it leaves. */
    private long hopelessMillis() {
        long lastSign = stream.isBegun() ? lastEventMillis : call.arrivalMillis();
        long patienceEnd = lastSign + call.route().getEventTimeoutMillis();
        long prefillLeft = cache.findReader().isPresent() ? 0 : prefillMillis(generation.promptTokens());
        return Math.min(patienceEnd, call.deadlineMillis()) - prefillLeft - FIRST_EVENT_MILLIS - RETURN_LEAD_MILLIS;
    }

    /** Lets the caller come back later rather than leave without an answer. */
    private void giveUpWaiting() {
        if (waiting) {
            waiting = false;
            if (stream.isBegun()) {
                loseStream("no room to go on");
                return;
            }
            long spread = MAX_FULL_RETRY_MILLIS - MIN_FULL_RETRY_MILLIS;
            giveUp(
                    "all workers are full",
                    MIN_FULL_RETRY_MILLIS + (long) (spread * parts.random().getAsDouble()));
        }
    }

    private boolean hasWorkers() {
        return workers().stream()
                .anyMatch(w ->
                        w.server().role() != WorkerRole.PREFILL && !w.server().leaving() && !excluded.contains(w.id()));
    }

    private static long prefillMillis(int tokens) {
        return PREFILL_BASE_MILLIS + (long) (PREFILL_MILLIS_PER_TOKEN * tokens);
    }

    @Override
    public boolean isOver() {
        return !waiting;
    }

    @Override
    public AdmissionQueues.Outcome tryPlace() {
        Optional<ListedWorker> decode = chooseDecode();
        if (decode.isEmpty()) {
            return AdmissionQueues.Outcome.NO_ROOM;
        }
        boolean read = cache.findReader().isPresent() || prefills >= MAX_PREFILLS || generation.promptTokens() == 0;
        Optional<ListedWorker> prefiller = read
                ? Optional.empty()
                : parts.placement()
                        .choosePrefill(
                                workers(), excluded, decode.get().server().zone(), now());
        if (prefiller.isPresent() && parts.ledger().countTokens(prefiller.get().id(), now()) > MAX_QUEUED_TOKENS) {
            return AdmissionQueues.Outcome.NO_ROOM;
        }
        Optional<EngineProfile> engine = engine();
        if (engine.isEmpty()) {
            waiting = false;
            serial.execute(() -> start(decode.get(), prefiller));
            return AdmissionQueues.Outcome.PLACED;
        }
        room.release();
        room = parts.broker()
                .reserve(
                        decode.get(),
                        engine.get(),
                        generation.memoryTokens(),
                        granted -> serial.execute(() -> roomAnswered(granted, decode.get(), prefiller)));
        return AdmissionQueues.Outcome.ASKED;
    }

    private void roomAnswered(boolean granted, ListedWorker decode, Optional<ListedWorker> prefiller) {
        if (!granted) {
            parts.ledger().markFull(decode.id(), now() + DENIED_MILLIS);
        } else if (waiting) {
            waiting = false;
            start(decode, prefiller);
        } else {
            room.release();
        }
        parts.rooms().answered(service, granted);
    }

    private void start(ListedWorker decode, Optional<ListedWorker> prefiller) {
        if (prefiller.isEmpty() || prefills > 0 && !parts.budgets().tryTake(service)) {
            sendDecode(decode);
        } else {
            reserve(decode);
            sendPrefill(prefiller.get());
        }
    }

    private Collection<ListedWorker> workers() {
        return parts.fleet().getWorkers(service);
    }

    private Optional<EngineProfile> engine() {
        return parts.fleet()
                .getRoutingTable()
                .flatMap(r -> r.findService(service))
                .flatMap(s -> s.engine());
    }

    private void sendPrefill(ListedWorker worker) {
        prefills++;
        prefillBody = new ByteArrayOutputStream();
        int queued = parts.ledger().countTokens(worker.id(), now());
        long expected = prefillMillis(queued + generation.promptTokens());
        WorkerRequest to =
                new WorkerRequest(worker, remainingMillis(), true, Optional.empty(), Optional.empty(), lastEventId());
        WorkerSend send = WorkerSend.start(parts, call, to, generation.promptTokens(), serial, this);
        prefill = Optional.of(send);
        after(PREFILL_PATIENCE * expected + PREFILL_SLACK_MILLIS, () -> {
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
            CacheHandle handle = parts.wire().readCacheHandle(send.workerCall(), prefillBody.toByteArray());
            long life = engine().map(EngineProfile::kvRetentionMillis).orElse(0L);
            cache.fill(handle, send.worker(), now(), life);
            log("prefill_done", send, "millis=" + send.getAgeMillis() + " tokens=" + generation.promptTokens());
            Optional<ListedWorker> decode = reserved.filter(w -> !parts.ledger().isUnhealthy(w.id(), now()))
                    .or(() -> chooseDecode());
            release();
            if (decode.isPresent()) {
                sendDecode(decode.get());
            } else {
                place();
            }
        } catch (IOException e) {
            log("prefill_unreadable", send, "reason=\"" + e.getMessage() + '"');
            prefillFailed(send);
        }
    }

    private boolean hasMuchRoom(ListedWorker worker) {
        int tokens = parts.ledger().countTokens(worker.id(), now());
        return engine().map(e -> tokens < MUCH_ROOM_SHARE * e.kvCapacityTokens())
                .orElse(true);
    }

    private Optional<ListedWorker> chooseDecode() {
        Optional<EngineProfile> engine = engine();
        return engine.isPresent()
                ? parts.placement().chooseDecode(workers(), engine.get(), generation.memoryTokens(), excluded, now())
                : parts.placement().choosePlain(workers(), excluded, now());
    }

    private void sendDecode(ListedWorker worker) {
        sends++;
        Optional<CacheHandle> handle = cache.findHandle(now() + CACHE_MARGIN_MILLIS);
        Optional<ListedWorker> cachedAt = handle.isPresent() ? Optional.empty() : cache.findReader();
        hadRoom = hasMuchRoom(worker);
        log(
                "decode",
                worker,
                "cached=" + handle.isPresent() + " from="
                        + cache.findReader().map(ListedWorker::id).orElse("none") + " requests="
                        + parts.ledger().countRequests(worker.id(), now()) + " tokens="
                        + parts.ledger().countTokens(worker.id(), now()) + " own_tokens=" + generation.memoryTokens());
        WorkerRequest to = new WorkerRequest(worker, remainingMillis(), false, handle, cachedAt, lastEventId());
        WorkerSend send = WorkerSend.start(parts, call, to, generation.memoryTokens(), serial, this);
        decodes.add(send);
        lastEventMillis = now();
        if (handle.isPresent() && call.route().resumable() && decodes.size() == 1) {
            after(TAKEOVER_MILLIS, () -> takeOver(send));
        }
        if (call.route().resumable() && decodes.size() == 1) {
            after(STALL_MILLIS, () -> checkStall(send));
        }
    }

    /** Offers the KV cache to a second worker when the first one shows no sign of life. */
    private void takeOver(WorkerSend silent) {
        boolean open = decodes.size() == 1 && decodes.get(0) == silent && !silent.isAnswered();
        if (!open || cache.findHandle(now() + CACHE_MARGIN_MILLIS).isEmpty()) {
            return;
        }
        excluded.add(silent.worker().id());
        Optional<ListedWorker> second = chooseDecode();
        if (second.isPresent() && parts.budgets().tryTake(service)) {
            log("take_over", silent, "second=" + second.get().id() + " millis=" + silent.getAgeMillis());
            sendDecode(second.get());
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
        return stream.findLastEventId().or(() -> call.metadata().lastEventId());
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
        cache.spend();
        if (!stream.takeHead(responseStatus, responseHeaders)) {
            log("resume_error", send, "status=" + responseStatus);
            send.cancel();
            decodes.remove(send);
            decodeLost(send, "the stream could not go on: status " + responseStatus, false);
        }
    }

    @Override
    public void onBytes(WorkerSend send, byte[] bytes) {
        if (isPrefill(send)) {
            prefillBody.writeBytes(bytes);
            return;
        }
        boolean begun = stream.isBegun();
        if (!stream.takeBytes(bytes)) {
            return;
        }
        if (begun) {
            longestPauseMillis = Math.max(longestPauseMillis, now() - lastEventMillis);
        }
        lastEventMillis = now();
        if (!begun) {
            log("first_event", send, "millis=" + send.getAgeMillis());
            parts.metrics().histogram("streams.first_event_millis").update(now() - call.arrivalMillis());
        }
    }

    @Override
    public void onEnd(WorkerSend send) {
        if (isPrefill(send)) {
            prefillDone(send);
            return;
        }
        decodes.remove(send);
        if (!stream.isError() && stream.isWithinEvent()) {
            decodeLost(send, "the stream ended within an event", false);
            return;
        }
        end(
                "answered",
                "worker=" + send.worker().id() + " status=" + stream.getStatus() + " decode_millis="
                        + send.getAgeMillis() + " longest_pause_millis=" + longestPauseMillis + " output_tokens="
                        + generation.maxOutputTokens());
        stream.finish();
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
        if (mayHaveRun && !call.route().resumable()) {
            loseStream(reason);
            return;
        }
        if (reason.equals(WorkerSend.REFUSED)
                && hadRoom
                && send.workerCall().cache().isPresent()) {
            // A worker that is full or gone has not taken the cache; one with room refuses because the cache has
            // lapsed.
            cache.spend();
        } else if (reason.equals(WorkerSend.REFUSED) && hadRoom) {
            // A worker with room that refuses whatever it is sent does not decode, for example while its role changes.
            excluded.add(send.worker().id());
            parts.ledger().suspend(send.worker().id(), now() + NOT_DECODING_MILLIS);
        } else if (reason.equals(WorkerSend.REFUSED)) {
            parts.ledger().markFull(send.worker().id(), now() + FULL_MILLIS);
        } else {
            excluded.add(send.worker().id());
        }
        boolean arrived = !reason.equals(WorkerSend.UNREACHABLE);
        refusedDecodes += arrived ? 1 : 0;
        if (refusedDecodes >= MAX_REFUSED_DECODES) {
            loseStream(reason);
        } else if (arrived) {
            placeWithinBudget();
        } else {
            place();
        }
    }

    /** Waits for the budget rather than send the caller away: nothing has run, and the prompt has been read. */
    private void placeWithinBudget() {
        if (parts.budgets().tryTake(service)) {
            place();
        } else if (now() + BUDGET_PAUSE_MILLIS < hopelessMillis()) {
            after(BUDGET_PAUSE_MILLIS, this::placeWithinBudget);
        } else {
            loseStream("the budget for repeats is used up");
        }
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
        stream.dropOpenEvent();
        boolean again = call.route().resumable() && ranOn < call.route().maxAttempts();
        if (again && (paid || parts.budgets().tryTake(service))) {
            place();
            return;
        }
        loseStream(reason);
    }

    private void loseStream(String reason) {
        if (!stream.isBegun()) {
            giveUp(reason, NO_WORKER_RETRY_MILLIS);
            return;
        }
        end("broken_off", "reason=\"" + reason + '"');
        answer.abort();
    }

    @Override
    void timeOut() {
        if (stream.isBegun()) {
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
        waiting = false;
        prefill.ifPresent(WorkerSend::cancel);
        prefill = Optional.empty();
        decodes.forEach(WorkerSend::cancel);
        decodes.clear();
        release();
        room.release();
        parts.rooms().roomFreed(service);
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
