package org.magnoliavane.node.keyed;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.NodeRun;
import org.magnoliavane.idempotency.Claim;
import org.magnoliavane.idempotency.IdempotencyKey;
import org.magnoliavane.idempotency.KeyAdmission;
import org.magnoliavane.idempotency.KeyTable;
import org.magnoliavane.idempotency.RunToken;
import org.magnoliavane.node.log.LogService;
import org.magnoliavane.node.membership.RunDirectory;
import org.magnoliavane.node.membership.RunState;
import org.magnoliavane.node.peer.PeerNetwork;
import org.magnoliavane.node.peer.Peers;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.KeyCall;
import org.magnoliavane.protocol.generated.KeyResult;
import org.magnoliavane.protocol.generated.VoidKey;
import org.magnoliavane.protocol.generated.VoidKeyResult;

/**
 * Runs keyed calls at most once over all nodes. Only one run may dispatch a key: the one that its run token names, or
 * else the one whose claim came first in the stream {@code claims}. That run dispatches only a key that it has just
 * taken on in its key table.
 *
 * <p>An answer that says that a key did not run is final: the table keeps it, so that a copy that was sent earlier and
 * arrives later does not run either.
 *
 * <p>Thread-safe.
 */
public final class KeyedCallService implements KeyedCalls, AutoCloseable {
    /** The largest number of keys that a run remembers. */
    public static final int MAX_KEYS = 200_000;

    private static final long MAX_BYTES = 64L << 20;
    private static final long ANSWER_RESERVE_BYTES = 16 << 10;
    private static final int MAX_RELAYED_BYTES = 900_000;
    private static final long RELAY_MARGIN_MILLIS = 500;
    private static final long RELAY_RETRY_MILLIS = 200;
    private static final long APPEND_RETRY_MILLIS = 250;

    /** Bounds the wait for the decision about a claim; the caller is not kept until its deadline. */
    private static final long DECISION_MILLIS = 2000;

    private static final long VOID_MILLIS = 500;

    /** Covers a run that left the VM list and still holds requests: no request is in work for longer. */
    private static final long LOSS_MILLIS = 60_000;

    private static final int MAX_VOID_ROUNDS = 64;

    private final NodeRun self;
    private final Peers peers;
    private final RunDirectory runs;
    private final PlainDispatcher dispatcher;
    private final Timers timers;
    private final ClaimStream claims;
    private final KeyTable<KeyEntry> table;
    private final AtomicInteger voidRounds = new AtomicInteger();
    private final long startMillis;

    KeyedCallService(
            NodeRun self,
            Peers peers,
            RunDirectory runs,
            PlainDispatcher dispatcher,
            LogService log,
            Timers timers,
            int maxKeys) {
        this.self = self;
        this.peers = peers;
        this.runs = runs;
        this.dispatcher = dispatcher;
        this.timers = timers;
        claims = ClaimStream.start(self, log, timers);
        table = new KeyTable<>(maxKeys, MAX_BYTES, ANSWER_RESERVE_BYTES);
        startMillis = timers.nowMillis();
    }

    /**
     * Starts the service and connects it to the network.
     *
     * @param self the run of this node
     * @param network the connections to the other nodes
     * @param runs tells live runs from ended ones
     * @param dispatcher sends calls to backend servers
     * @param log the log service
     * @return the service
     */
    public static KeyedCallService start(
            NodeRun self, PeerNetwork network, RunDirectory runs, PlainDispatcher dispatcher, LogService log) {
        KeyedCallService service =
                new KeyedCallService(self, network, runs, dispatcher, log, new SystemTimers(), MAX_KEYS);
        network.handle(Frame.BodyCase.KEY_CALL, (from, frame, reply) -> service.answer(frame.getKeyCall(), reply));
        network.handle(Frame.BodyCase.VOID_KEY, (from, frame, reply) -> service.answer(frame.getVoidKey(), reply));
        return service;
    }

    @Override
    public CompletionStage<Either<Fault, PlainResponse>> call(PlainRequest call) {
        if (call.idempotencyKey().isEmpty()) {
            return failed(KeyFaults.missingKey());
        }
        IdempotencyKey key = keyOf(call);
        if (!key.isValid()) {
            return failed(KeyFaults.invalidKey(IdempotencyKey.MAX_LENGTH));
        }
        Optional<RunToken> token = key.findToken();
        if (token.isEmpty()) {
            return callWithoutToken(call, key);
        }
        NodeRun owner = token.get().run();
        return owner.equals(self) ? callOwned(call, key, token.get()) : relay(call, owner, false);
    }

    @Override
    public String issueRunToken() {
        return new RunToken(self, timers.nowMillis() / 1000).toString();
    }

    /**
     * Gets the number of keys that are remembered.
     *
     * @return the number
     */
    public int getKeyCount() {
        synchronized (table) {
            return table.getSize();
        }
    }

    @Override
    public void close() {
        claims.stop();
        if (timers instanceof SystemTimers system) {
            system.close();
        }
    }

    void answer(KeyCall message, Consumer<Frame.Builder> reply) {
        PlainRequest call = KeyMessages.toCall(message);
        answerTo(call, message).thenAccept(result -> reply.accept(toFrame(result)));
    }

    void answer(VoidKey message, Consumer<Frame.Builder> reply) {
        IdempotencyKey key = new IdempotencyKey(message.getCaller(), message.getKey());
        VoidKeyResult result = VoidKeyResult.newBuilder()
                .setVoided(voidHere(key, message.getContentHash()))
                .build();
        reply.accept(Frame.newBuilder().setVoidKeyResult(result));
    }

    private CompletionStage<Either<Fault, PlainResponse>> answerTo(PlainRequest call, KeyCall message) {
        if (!message.getOwner().equals(self.toString())) {
            Optional<NodeRun> owner = NodeRun.parse(message.getOwner());
            return failed(owner.map(KeyFaults::runGone).orElseGet(KeyFaults::foreignToken));
        }
        IdempotencyKey key = keyOf(call);
        if (message.getClaimed()) {
            return callClaimed(call, key);
        }
        return key.findToken()
                .filter(token -> token.run().equals(self))
                .map(token -> callOwned(call, key, token))
                .orElseGet(() -> failed(KeyFaults.foreignToken()));
    }

    /** Runs or joins a key that begins with a token of this run. */
    private CompletionStage<Either<Fault, PlainResponse>> callOwned(
            PlainRequest call, IdempotencyKey key, RunToken token) {
        long now = timers.nowMillis();
        String content = RequestHash.of(call);
        KeyEntry entry = new KeyEntry(KeyEntry.State.OWNED);
        KeyAdmission admission;
        synchronized (table) {
            admission = table.lookUp(key, content, now);
            if (admission == KeyAdmission.ABSENT) {
                Optional<Fault> fault = checkToken(token, now);
                if (fault.isPresent()) {
                    return failed(fault.get());
                }
                admission = table.admit(key, content, token.issuedSeconds() * 1000, now, () -> entry);
            }
        }
        return switch (admission) {
            case NEW -> {
                dispatch(call, key, entry, now + call.timeoutMillis());
                yield join(entry, call);
            }
            case KNOWN -> joinKnown(key, call);
            case CONFLICT -> failed(KeyFaults.conflict(true));
            default -> failed(KeyFaults.fullTable());
        };
    }

    private Optional<Fault> checkToken(RunToken token, long now) {
        long issuedMillis = token.issuedSeconds() * 1000;
        if (issuedMillis > now || issuedMillis < startMillis - 1000) {
            return Optional.of(KeyFaults.foreignToken());
        }
        if (now - issuedMillis > KeyTable.TOKEN_LIFETIME_MILLIS) {
            return Optional.of(KeyFaults.expired("the run token of the key is older than 15 minutes"));
        }
        return Optional.empty();
    }

    /** Joins a key that this run has claimed. The call that claimed it is the only one that dispatches it. */
    private CompletionStage<Either<Fault, PlainResponse>> callClaimed(PlainRequest call, IdempotencyKey key) {
        String content = RequestHash.of(call);
        KeyAdmission admission;
        synchronized (table) {
            admission = table.lookUp(key, content, timers.nowMillis());
        }
        return switch (admission) {
            case KNOWN -> joinKnown(key, call);
            case CONFLICT -> failed(conflictOf(key));
            default -> failed(KeyFaults.expired("the run that claimed the key no longer knows its answer"));
        };
    }

    private CompletionStage<Either<Fault, PlainResponse>> callWithoutToken(PlainRequest call, IdempotencyKey key) {
        String digest = key.toDigest();
        Optional<Claim> claim = claims.find(digest);
        if (claim.isPresent()) {
            NodeRun owner = claim.get().run();
            return owner.equals(self) ? callClaimed(call, key) : relay(call, owner, true);
        }
        KeyEntry entry = new KeyEntry(KeyEntry.State.UNDECIDED);
        long now = timers.nowMillis();
        String content = RequestHash.of(call);
        KeyAdmission admission;
        synchronized (table) {
            admission = table.admitWithoutToken(key, content, now, () -> entry);
        }
        return switch (admission) {
            case NEW -> {
                claim(call, key, entry, now + call.timeoutMillis());
                yield join(entry, call);
            }
            case KNOWN -> joinKnown(key, call);
            case CONFLICT -> failed(conflictOf(key));
            default -> failed(KeyFaults.fullTableWithoutToken());
        };
    }

    private void claim(PlainRequest call, IdempotencyKey key, KeyEntry entry, long deadline) {
        long wait = Math.min(call.timeoutMillis(), DECISION_MILLIS);
        Runnable cancel = timers.after(wait, () -> giveUp(key, entry));
        claims.await(key.toDigest()).thenAccept(claim -> {
            cancel.run();
            onClaim(call, key, entry, deadline, claim);
        });
        append(call, key, entry);
    }

    private void append(PlainRequest call, IdempotencyKey key, KeyEntry entry) {
        claims.append(key.toDigest()).thenAccept(outcome -> {
            if (outcome != ClaimStream.Append.NOT_DONE) {
                entry.setMayBeAppended();
            } else if (!entry.mayBeAppended()) {
                abandon(call, key, entry);
                return;
            }
            if (outcome != ClaimStream.Append.DONE) {
                timers.after(APPEND_RETRY_MILLIS, () -> appendAgain(call, key, entry));
            }
        });
    }

    /** Appends once more: a second claim of the same run changes nothing if the first one took effect. */
    private void appendAgain(PlainRequest call, IdempotencyKey key, KeyEntry entry) {
        if (entry.getState() == KeyEntry.State.UNDECIDED) {
            append(call, key, entry);
        }
    }

    private void onClaim(PlainRequest call, IdempotencyKey key, KeyEntry entry, long deadline, Claim claim) {
        if (claim.run().equals(self)) {
            if (entry.decide(KeyEntry.State.OWNED)) {
                dispatch(call, key, entry, deadline);
            }
            return;
        }
        boolean undecided = entry.decide(KeyEntry.State.GIVEN_UP);
        drop(key, entry);
        if (undecided) {
            relay(call, claim.run(), true).thenAccept(entry.getAnswer()::complete);
        }
    }

    /** Ends the wait for the decision. The key stays in the table, because the claim may still take effect. */
    private void giveUp(IdempotencyKey key, KeyEntry entry) {
        if (entry.decide(KeyEntry.State.GIVEN_UP)) {
            finish(key, entry, Either.left(KeyFaults.logUndecided()));
            timers.after(KeyTable.RETENTION_MILLIS, () -> claims.forget(key.toDigest()));
        }
    }

    /** Ends a call whose claim is certainly not in the stream. */
    private void abandon(PlainRequest call, IdempotencyKey key, KeyEntry entry) {
        if (!entry.decide(KeyEntry.State.GIVEN_UP)) {
            return;
        }
        claims.forget(key.toDigest());
        voidEverywhere(call, key).thenAccept(voided -> {
            if (voided) {
                finish(key, entry, Either.left(KeyFaults.logUnavailable()));
                return;
            }
            drop(key, entry);
            entry.getAnswer().complete(Either.left(KeyFaults.logUndecided()));
        });
    }

    /**
     * Makes sure that no node has run the key or will. Every node of the VM list must promise that, and the claims of
     * the runs that ended before must be known.
     */
    private CompletionStage<Boolean> voidEverywhere(PlainRequest call, IdempotencyKey key) {
        long sinceLoss = runs.getMillisSinceLoss();
        OptionalLong synced = claims.getSyncedMillis();
        boolean known = synced.isPresent() && timers.nowMillis() - synced.getAsLong() < sinceLoss;
        if (!known || sinceLoss < LOSS_MILLIS || voidRounds.get() >= MAX_VOID_ROUNDS) {
            return CompletableFuture.completedFuture(false);
        }
        voidRounds.incrementAndGet();
        List<CompletableFuture<Boolean>> promises = runs.getListedNodes().stream()
                .map(node -> voidAt(node, call, key).toCompletableFuture())
                .toList();
        return CompletableFuture.allOf(promises.toArray(new CompletableFuture<?>[0]))
                .handle((done, cause) -> {
                    voidRounds.decrementAndGet();
                    return cause == null && promises.stream().allMatch(CompletableFuture::join);
                });
    }

    private CompletionStage<Boolean> voidAt(String node, PlainRequest call, IdempotencyKey key) {
        VoidKey message = VoidKey.newBuilder()
                .setCaller(key.caller())
                .setKey(key.text())
                .setContentHash(RequestHash.of(call))
                .build();
        return peers.call(node, Frame.newBuilder().setVoidKey(message), VOID_MILLIS)
                .handle((reply, cause) ->
                        cause == null && reply.getVoidKeyResult().getVoided());
    }

    private boolean voidHere(IdempotencyKey key, String contentHash) {
        if (claims.find(key.toDigest()).isPresent()) {
            return false;
        }
        KeyEntry entry = new KeyEntry(KeyEntry.State.VOIDED);
        KeyAdmission admission;
        synchronized (table) {
            admission = table.admitWithoutToken(key, contentHash, timers.nowMillis(), () -> entry);
            if (admission != KeyAdmission.NEW) {
                return table.find(key)
                        .filter(known -> known.getState() == KeyEntry.State.VOIDED)
                        .isPresent();
            }
        }
        finish(key, entry, Either.left(KeyFaults.voided()));
        return true;
    }

    private void dispatch(PlainRequest call, IdempotencyKey key, KeyEntry entry, long deadline) {
        // A pause of this process may have lasted past the deadline; the caller may have acted on that.
        long left = deadline - timers.nowMillis();
        if (left <= 0) {
            finish(key, entry, Either.left(KeyFaults.deadline()));
            return;
        }
        try {
            dispatcher.dispatch(withTimeout(call, left)).whenComplete((result, cause) -> {
                Either<Fault, PlainResponse> answer =
                        cause == null ? result : Either.left(KeyFaults.dispatchFailed(cause));
                finish(key, entry, answer.mapLeft(KeyedCallService::toFinal));
            });
        } catch (RuntimeException e) {
            finish(key, entry, Either.left(KeyFaults.dispatchFailed(e)));
        }
    }

    private static Fault toFinal(Fault fault) {
        return fault.ran() == ExecutionStatus.NO ? KeyFaults.answeredForGood(fault) : fault;
    }

    private void finish(IdempotencyKey key, KeyEntry entry, Either<Fault, PlainResponse> answer) {
        long bytes = answer.fold(fault -> 0L, KeyedCallService::sizeOf);
        synchronized (table) {
            if (table.find(key).filter(known -> known == entry).isPresent()) {
                table.complete(key, bytes);
            }
        }
        entry.getAnswer().complete(answer);
    }

    private void drop(IdempotencyKey key, KeyEntry entry) {
        synchronized (table) {
            if (table.find(key).filter(known -> known == entry).isPresent()) {
                table.remove(key);
            }
        }
    }

    private CompletionStage<Either<Fault, PlainResponse>> joinKnown(IdempotencyKey key, PlainRequest call) {
        Optional<KeyEntry> entry;
        synchronized (table) {
            entry = table.find(key);
        }
        return entry.map(known -> join(known, call)).orElseGet(() -> failed(KeyFaults.inProgress()));
    }

    private Fault conflictOf(IdempotencyKey key) {
        synchronized (table) {
            return KeyFaults.conflict(table.find(key).filter(KeyEntry::isOwned).isPresent());
        }
    }

    /** Waits for the answer, but no longer than the call may take. */
    private CompletionStage<Either<Fault, PlainResponse>> join(KeyEntry entry, PlainRequest call) {
        CompletableFuture<Either<Fault, PlainResponse>> result =
                entry.getAnswer().copy();
        if (!result.isDone()) {
            Runnable cancel = timers.after(
                    call.timeoutMillis() + RELAY_MARGIN_MILLIS / 2,
                    () -> result.complete(Either.left(KeyFaults.inProgress())));
            result.whenComplete((answer, cause) -> cancel.run());
        }
        return result;
    }

    private CompletionStage<Either<Fault, PlainResponse>> relay(PlainRequest call, NodeRun owner, boolean claimed) {
        if (call.body().length > MAX_RELAYED_BYTES) {
            return failed(KeyFaults.tooLarge(owner, MAX_RELAYED_BYTES));
        }
        Relay relay = new Relay(call, owner, claimed, timers.nowMillis() + call.timeoutMillis());
        send(relay);
        return relay.result;
    }

    private void send(Relay relay) {
        boolean connected =
                peers.findRun(relay.owner.node()).filter(relay.owner::equals).isPresent();
        if (!connected) {
            fail(relay);
            return;
        }
        long left = Math.max(0, relay.deadline - timers.nowMillis());
        KeyCall message = KeyMessages.toMessage(withTimeout(relay.call, left), relay.owner, relay.claimed);
        peers.call(relay.owner.node(), Frame.newBuilder().setKeyCall(message), left + RELAY_MARGIN_MILLIS)
                .whenComplete((reply, cause) -> {
                    if (cause == null && reply.hasKeyResult()) {
                        relay.result.complete(KeyMessages.toResult(reply.getKeyResult()));
                    } else {
                        fail(relay);
                    }
                });
    }

    /** Sends again while the owner is live: it joins a repeated key, so that a lost connection costs little. */
    private void fail(Relay relay) {
        runs.getState(relay.owner).whenComplete((state, cause) -> {
            boolean late = timers.nowMillis() + RELAY_RETRY_MILLIS > relay.deadline;
            if (cause == null && state == RunState.GONE) {
                relay.result.complete(Either.left(KeyFaults.runGone(relay.owner)));
            } else if (cause != null || state == RunState.UNREACHABLE || late) {
                relay.result.complete(Either.left(KeyFaults.unreachable(relay.owner)));
            } else {
                timers.after(RELAY_RETRY_MILLIS, () -> send(relay));
            }
        });
    }

    private Frame.Builder toFrame(Either<Fault, PlainResponse> result) {
        KeyResult message = KeyMessages.toMessage(result);
        if (message.getSerializedSize() > MAX_RELAYED_BYTES) {
            message = KeyMessages.toMessage(Either.left(KeyFaults.answerTooLarge(self)));
        }
        return Frame.newBuilder().setKeyResult(message);
    }

    private static IdempotencyKey keyOf(PlainRequest call) {
        return new IdempotencyKey(call.caller(), call.idempotencyKey().orElse(""));
    }

    private static PlainRequest withTimeout(PlainRequest call, long millis) {
        return new PlainRequest(
                call.request(),
                call.caller(),
                call.service(),
                call.method(),
                call.path(),
                call.headers(),
                call.body(),
                call.idempotencyKey(),
                call.idempotent(),
                millis);
    }

    private static long sizeOf(PlainResponse answer) {
        long bytes = answer.body().length;
        for (var header : answer.headers().entrySet()) {
            bytes += 2L * (header.getKey().length() + header.getValue().length());
        }
        return bytes;
    }

    private static CompletionStage<Either<Fault, PlainResponse>> failed(Fault fault) {
        return CompletableFuture.completedFuture(Either.left(fault));
    }

    /** Holds a call on its way to the run that owns its key. */
    private static final class Relay {
        private final PlainRequest call;
        private final NodeRun owner;
        private final boolean claimed;
        private final long deadline;
        private final CompletableFuture<Either<Fault, PlainResponse>> result = new CompletableFuture<>();

        Relay(PlainRequest call, NodeRun owner, boolean claimed, long deadline) {
            this.call = call;
            this.owner = owner;
            this.claimed = claimed;
            this.deadline = deadline;
        }
    }
}
