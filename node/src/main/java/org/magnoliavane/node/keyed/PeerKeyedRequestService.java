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
import org.magnoliavane.node.membership.NodeRunDirectory;
import org.magnoliavane.node.membership.NodeRunState;
import org.magnoliavane.node.peer.PeerNetwork;
import org.magnoliavane.node.peer.Peers;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.KeyCall;
import org.magnoliavane.protocol.generated.KeyResult;
import org.magnoliavane.protocol.generated.VoidKey;
import org.magnoliavane.protocol.generated.VoidKeyResult;

/**
 * Executes requests with an idempotency key at most once across all nodes. Only one node run may dispatch a key: the
 * one that the run token of the key names, or else the one whose claim came first in the stream {@code claims}. That run
 * dispatches a key only after it has added the key to its key table.
 *
 * <p>A result which reports that a key was not executed is final. The key table retains it, so that a duplicate that was
 * sent earlier and arrives later is not executed either.
 *
 * <p>Thread-safe.
 */
public final class PeerKeyedRequestService implements KeyedRequestService, AutoCloseable {
    /** The largest number of keys that a node run retains. */
    public static final int MAX_KEYS = 200_000;

    private static final long MAX_TABLE_BYTES = 64L << 20;
    private static final long RESPONSE_RESERVE_BYTES = 16 << 10;
    private static final int MAX_RELAYED_BYTES = 900_000;
    private static final long RELAY_MARGIN_MILLIS = 500;
    private static final long RELAY_RETRY_DELAY_MILLIS = 200;
    private static final long APPEND_RETRY_DELAY_MILLIS = 250;

    /** The longest wait for the first claim of a key, so that callers need not wait until their deadline. */
    private static final long DECISION_TIMEOUT_MILLIS = 2000;

    private static final long VOID_TIMEOUT_MILLIS = 500;

    /**
     * The time after which a run that left the VM list can hold no more requests: no request is processed for longer.
     */
    private static final long MIN_MILLIS_SINCE_RUN_END = 60_000;

    private static final int MAX_CONCURRENT_VOIDS = 64;

    private final NodeRun self;
    private final Peers peers;
    private final NodeRunDirectory runDirectory;
    private final PlainDispatcher dispatcher;
    private final Timers timers;
    private final ClaimStream claimStream;
    private final KeyTable<KeyEntry> keyTable;
    private final AtomicInteger activeVoids = new AtomicInteger();
    private final long startMillis;

    PeerKeyedRequestService(
            NodeRun self,
            Peers peers,
            NodeRunDirectory runDirectory,
            PlainDispatcher dispatcher,
            LogService log,
            Timers timers,
            int maxKeys) {
        this.self = self;
        this.peers = peers;
        this.runDirectory = runDirectory;
        this.dispatcher = dispatcher;
        this.timers = timers;
        claimStream = ClaimStream.start(self, log, timers);
        keyTable = new KeyTable<>(maxKeys, MAX_TABLE_BYTES, RESPONSE_RESERVE_BYTES);
        startMillis = timers.nowMillis();
    }

    /**
     * Starts the service and connects it to the network.
     *
     * @param self the run of this node
     * @param network the connections to the other nodes
     * @param runDirectory determines which node runs have ended
     * @param dispatcher sends requests to backend servers
     * @param log the log service
     * @return the service
     */
    public static PeerKeyedRequestService start(
            NodeRun self,
            PeerNetwork network,
            NodeRunDirectory runDirectory,
            PlainDispatcher dispatcher,
            LogService log) {
        PeerKeyedRequestService service =
                new PeerKeyedRequestService(self, network, runDirectory, dispatcher, log, new SystemTimers(), MAX_KEYS);
        network.setHandler(Frame.BodyCase.KEY_CALL, (from, frame, reply) -> service.handle(frame.getKeyCall(), reply));
        network.setHandler(Frame.BodyCase.VOID_KEY, (from, frame, reply) -> service.handle(frame.getVoidKey(), reply));
        return service;
    }

    @Override
    public CompletionStage<Either<Fault, PlainResponse>> execute(PlainRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return failed(KeyFaults.missingKey());
        }
        IdempotencyKey key = createKey(request);
        if (!key.isValid()) {
            return failed(KeyFaults.invalidKey(IdempotencyKey.MAX_LENGTH));
        }
        Optional<RunToken> token = key.findToken();
        if (token.isEmpty()) {
            return executeWithoutToken(request, key);
        }
        NodeRun owner = token.get().run();
        return owner.equals(self) ? executeOwned(request, key, token.get()) : relay(request, owner, false);
    }

    @Override
    public String issueRunToken() {
        return new RunToken(self, timers.nowMillis() / 1000).toString();
    }

    /**
     * Gets the number of keys in the key table.
     *
     * @return the number of keys
     */
    public int getKeyCount() {
        synchronized (keyTable) {
            return keyTable.getSize();
        }
    }

    @Override
    public void close() {
        claimStream.stop();
        if (timers instanceof SystemTimers system) {
            system.close();
        }
    }

    void handle(KeyCall message, Consumer<Frame.Builder> reply) {
        PlainRequest request = KeyMessages.toRequest(message);
        executeRelayed(request, message).thenAccept(result -> reply.accept(toFrame(result)));
    }

    void handle(VoidKey message, Consumer<Frame.Builder> reply) {
        IdempotencyKey key = new IdempotencyKey(message.getCaller(), message.getKey());
        VoidKeyResult result = VoidKeyResult.newBuilder()
                .setVoided(voidLocally(key, message.getContentHash()))
                .build();
        reply.accept(Frame.newBuilder().setVoidKeyResult(result));
    }

    private CompletionStage<Either<Fault, PlainResponse>> executeRelayed(PlainRequest request, KeyCall message) {
        if (!message.getOwner().equals(self.toString())) {
            Optional<NodeRun> owner = NodeRun.parse(message.getOwner());
            return failed(owner.map(KeyFaults::ownerEnded).orElseGet(KeyFaults::invalidToken));
        }
        IdempotencyKey key = createKey(request);
        if (message.getClaimed()) {
            return joinClaimed(request, key);
        }
        return key.findToken()
                .filter(token -> token.run().equals(self))
                .map(token -> executeOwned(request, key, token))
                .orElseGet(() -> failed(KeyFaults.invalidToken()));
    }

    /** Executes a key that begins with a token of this run, or waits for the result of its first execution. */
    private CompletionStage<Either<Fault, PlainResponse>> executeOwned(
            PlainRequest request, IdempotencyKey key, RunToken token) {
        long now = timers.nowMillis();
        String content = RequestHash.compute(request);
        KeyEntry entry = new KeyEntry(KeyEntry.State.OWNED);
        KeyAdmission admission;
        synchronized (keyTable) {
            admission = keyTable.lookUp(key, content, now);
            if (admission == KeyAdmission.ABSENT) {
                Optional<Fault> fault = checkToken(token, now);
                if (fault.isPresent()) {
                    return failed(fault.get());
                }
                admission = keyTable.admit(key, content, token.issuedSeconds() * 1000, now, () -> entry);
            }
        }
        return switch (admission) {
            case NEW -> {
                dispatch(request, key, entry, now + request.timeoutMillis());
                yield join(entry, request);
            }
            case KNOWN -> joinKnown(key, request);
            case CONFLICT -> failed(KeyFaults.conflict(true));
            default -> failed(KeyFaults.tableFull());
        };
    }

    private Optional<Fault> checkToken(RunToken token, long now) {
        long issuedMillis = token.issuedSeconds() * 1000;
        if (issuedMillis > now || issuedMillis < startMillis - 1000) {
            return Optional.of(KeyFaults.invalidToken());
        }
        if (now - issuedMillis > KeyTable.TOKEN_LIFETIME_MILLIS) {
            return Optional.of(KeyFaults.expiredKey("the run token of the key is older than 15 minutes"));
        }
        return Optional.empty();
    }

    /**
     * Waits for the result of a key that this run has claimed. Only the request that claimed the key dispatches it.
     */
    private CompletionStage<Either<Fault, PlainResponse>> joinClaimed(PlainRequest request, IdempotencyKey key) {
        String content = RequestHash.compute(request);
        KeyAdmission admission;
        synchronized (keyTable) {
            admission = keyTable.lookUp(key, content, timers.nowMillis());
        }
        return switch (admission) {
            case KNOWN -> joinKnown(key, request);
            case CONFLICT -> failed(createConflict(key));
            default -> failed(KeyFaults.expiredKey("the node run that claimed the key no longer has its result"));
        };
    }

    private CompletionStage<Either<Fault, PlainResponse>> executeWithoutToken(
            PlainRequest request, IdempotencyKey key) {
        String digest = key.toDigest();
        Optional<Claim> claim = claimStream.findClaim(digest);
        if (claim.isPresent()) {
            NodeRun owner = claim.get().run();
            return owner.equals(self) ? joinClaimed(request, key) : relay(request, owner, true);
        }
        KeyEntry entry = new KeyEntry(KeyEntry.State.UNDECIDED);
        long now = timers.nowMillis();
        String content = RequestHash.compute(request);
        KeyAdmission admission;
        synchronized (keyTable) {
            admission = keyTable.admitWithoutToken(key, content, now, () -> entry);
        }
        return switch (admission) {
            case NEW -> {
                claim(request, key, entry, now + request.timeoutMillis());
                yield join(entry, request);
            }
            case KNOWN -> joinKnown(key, request);
            case CONFLICT -> failed(createConflict(key));
            default -> failed(KeyFaults.tableFullWithoutToken());
        };
    }

    private void claim(PlainRequest request, IdempotencyKey key, KeyEntry entry, long deadlineMillis) {
        long waitMillis = Math.min(request.timeoutMillis(), DECISION_TIMEOUT_MILLIS);
        Runnable cancel = timers.runAfter(waitMillis, () -> stopWaiting(key, entry));
        claimStream.awaitClaim(key.toDigest()).thenAccept(claim -> {
            cancel.run();
            onClaim(request, key, entry, deadlineMillis, claim);
        });
        appendClaim(request, key, entry);
    }

    private void appendClaim(PlainRequest request, IdempotencyKey key, KeyEntry entry) {
        claimStream.appendClaim(key.toDigest()).thenAccept(outcome -> {
            if (outcome != ClaimStream.AppendOutcome.NOT_APPENDED) {
                entry.setMayBeAppended();
            } else if (!entry.mayBeAppended()) {
                failUnclaimed(request, key, entry);
                return;
            }
            if (outcome != ClaimStream.AppendOutcome.APPENDED) {
                timers.runAfter(APPEND_RETRY_DELAY_MILLIS, () -> retryAppend(request, key, entry));
            }
        });
    }

    /** Appends the claim again. A second claim of the same run has no effect if the first one was appended. */
    private void retryAppend(PlainRequest request, IdempotencyKey key, KeyEntry entry) {
        if (entry.getState() == KeyEntry.State.UNDECIDED) {
            appendClaim(request, key, entry);
        }
    }

    private void onClaim(PlainRequest request, IdempotencyKey key, KeyEntry entry, long deadlineMillis, Claim claim) {
        if (claim.run().equals(self)) {
            if (entry.tryDecide(KeyEntry.State.OWNED)) {
                dispatch(request, key, entry, deadlineMillis);
            }
            return;
        }
        boolean undecided = entry.tryDecide(KeyEntry.State.ABANDONED);
        removeEntry(key, entry);
        if (undecided) {
            relay(request, claim.run(), true).thenAccept(entry.getResult()::complete);
        }
    }

    /** Stops waiting for the first claim. The key stays in the table, because the claim may still be appended. */
    private void stopWaiting(IdempotencyKey key, KeyEntry entry) {
        if (entry.tryDecide(KeyEntry.State.ABANDONED)) {
            complete(key, entry, Either.left(KeyFaults.logUndecided()));
            timers.runAfter(KeyTable.RETENTION_MILLIS, () -> claimStream.stopAwaiting(key.toDigest()));
        }
    }

    /** Fails a request whose claim is certainly not in the stream. */
    private void failUnclaimed(PlainRequest request, IdempotencyKey key, KeyEntry entry) {
        if (!entry.tryDecide(KeyEntry.State.ABANDONED)) {
            return;
        }
        claimStream.stopAwaiting(key.toDigest());
        voidOnAllNodes(request, key).thenAccept(voided -> {
            if (voided) {
                complete(key, entry, Either.left(KeyFaults.logUnavailable()));
                return;
            }
            removeEntry(key, entry);
            entry.getResult().complete(Either.left(KeyFaults.logUndecided()));
        });
    }

    /**
     * Ensures that no node has executed the key or will execute it. Every node of the VM list must confirm this, and the
     * claims of the node runs that have ended must have been read.
     *
     * @return true when the key is voided on all nodes
     */
    private CompletionStage<Boolean> voidOnAllNodes(PlainRequest request, IdempotencyKey key) {
        long sinceLastRunEnd = runDirectory.getMillisSinceLastRunEnd();
        OptionalLong synced = claimStream.findSyncedMillis();
        boolean known = synced.isPresent() && timers.nowMillis() - synced.getAsLong() < sinceLastRunEnd;
        if (!known || sinceLastRunEnd < MIN_MILLIS_SINCE_RUN_END || activeVoids.get() >= MAX_CONCURRENT_VOIDS) {
            return CompletableFuture.completedFuture(false);
        }
        activeVoids.incrementAndGet();
        List<CompletableFuture<Boolean>> confirmations = runDirectory.getListedNodes().stream()
                .map(node -> voidOnNode(node, request, key).toCompletableFuture())
                .toList();
        return CompletableFuture.allOf(confirmations.toArray(new CompletableFuture<?>[0]))
                .handle((done, cause) -> {
                    activeVoids.decrementAndGet();
                    return cause == null && confirmations.stream().allMatch(CompletableFuture::join);
                });
    }

    private CompletionStage<Boolean> voidOnNode(String node, PlainRequest request, IdempotencyKey key) {
        VoidKey message = VoidKey.newBuilder()
                .setCaller(key.caller())
                .setKey(key.text())
                .setContentHash(RequestHash.compute(request))
                .build();
        return peers.sendRequest(node, Frame.newBuilder().setVoidKey(message), VOID_TIMEOUT_MILLIS)
                .handle((reply, cause) ->
                        cause == null && reply.getVoidKeyResult().getVoided());
    }

    private boolean voidLocally(IdempotencyKey key, String contentHash) {
        if (claimStream.findClaim(key.toDigest()).isPresent()) {
            return false;
        }
        KeyEntry entry = new KeyEntry(KeyEntry.State.VOIDED);
        KeyAdmission admission;
        synchronized (keyTable) {
            admission = keyTable.admitWithoutToken(key, contentHash, timers.nowMillis(), () -> entry);
            if (admission != KeyAdmission.NEW) {
                return keyTable.find(key)
                        .filter(known -> known.getState() == KeyEntry.State.VOIDED)
                        .isPresent();
            }
        }
        complete(key, entry, Either.left(KeyFaults.voidedKey()));
        return true;
    }

    private void dispatch(PlainRequest request, IdempotencyKey key, KeyEntry entry, long deadlineMillis) {
        // A process pause may have lasted past the deadline, and the caller may have acted on the timeout already.
        long leftMillis = deadlineMillis - timers.nowMillis();
        if (leftMillis <= 0) {
            complete(key, entry, Either.left(KeyFaults.deadlineExceeded()));
            return;
        }
        try {
            dispatcher.dispatch(withTimeout(request, leftMillis)).whenComplete((response, cause) -> {
                Either<Fault, PlainResponse> result =
                        cause == null ? response : Either.left(KeyFaults.dispatchFailed(cause));
                complete(key, entry, result.mapLeft(PeerKeyedRequestService::toFinal));
            });
        } catch (RuntimeException e) {
            complete(key, entry, Either.left(KeyFaults.dispatchFailed(e)));
        }
    }

    private static Fault toFinal(Fault fault) {
        return fault.ran() == ExecutionStatus.NO ? KeyFaults.withNewKeyRemedy(fault) : fault;
    }

    private void complete(IdempotencyKey key, KeyEntry entry, Either<Fault, PlainResponse> result) {
        long bytes = result.fold(fault -> 0L, PeerKeyedRequestService::estimateBytes);
        synchronized (keyTable) {
            if (keyTable.find(key).filter(known -> known == entry).isPresent()) {
                keyTable.complete(key, bytes);
            }
        }
        entry.getResult().complete(result);
    }

    private void removeEntry(IdempotencyKey key, KeyEntry entry) {
        synchronized (keyTable) {
            if (keyTable.find(key).filter(known -> known == entry).isPresent()) {
                keyTable.remove(key);
            }
        }
    }

    private CompletionStage<Either<Fault, PlainResponse>> joinKnown(IdempotencyKey key, PlainRequest request) {
        Optional<KeyEntry> entry;
        synchronized (keyTable) {
            entry = keyTable.find(key);
        }
        return entry.map(known -> join(known, request)).orElseGet(() -> failed(KeyFaults.inProgress()));
    }

    private Fault createConflict(IdempotencyKey key) {
        synchronized (keyTable) {
            return KeyFaults.conflict(
                    keyTable.find(key).filter(KeyEntry::isOwned).isPresent());
        }
    }

    /** Waits for the result until shortly after the timeout of the request. */
    private CompletionStage<Either<Fault, PlainResponse>> join(KeyEntry entry, PlainRequest request) {
        CompletableFuture<Either<Fault, PlainResponse>> result =
                entry.getResult().copy();
        if (!result.isDone()) {
            Runnable cancel = timers.runAfter(
                    request.timeoutMillis() + RELAY_MARGIN_MILLIS / 2,
                    () -> result.complete(Either.left(KeyFaults.inProgress())));
            result.whenComplete((completed, cause) -> cancel.run());
        }
        return result;
    }

    private CompletionStage<Either<Fault, PlainResponse>> relay(PlainRequest request, NodeRun owner, boolean claimed) {
        if (request.body().length > MAX_RELAYED_BYTES) {
            return failed(KeyFaults.requestTooLarge(owner, MAX_RELAYED_BYTES));
        }
        RelayedRequest relayed =
                new RelayedRequest(request, owner, claimed, timers.nowMillis() + request.timeoutMillis());
        send(relayed);
        return relayed.result;
    }

    private void send(RelayedRequest relayed) {
        boolean connected = peers.findRun(relayed.owner.node())
                .filter(relayed.owner::equals)
                .isPresent();
        if (!connected) {
            retryOrFail(relayed);
            return;
        }
        long leftMillis = Math.max(0, relayed.deadlineMillis - timers.nowMillis());
        KeyCall message =
                KeyMessages.toMessage(withTimeout(relayed.request, leftMillis), relayed.owner, relayed.claimed);
        peers.sendRequest(
                        relayed.owner.node(), Frame.newBuilder().setKeyCall(message), leftMillis + RELAY_MARGIN_MILLIS)
                .whenComplete((reply, cause) -> {
                    if (cause == null && reply.hasKeyResult()) {
                        relayed.result.complete(KeyMessages.toResult(reply.getKeyResult()));
                    } else {
                        retryOrFail(relayed);
                    }
                });
    }

    /**
     * Sends the request again while the owner is live. The owner joins requests with the same key, so that a lost
     * connection only delays the request.
     */
    private void retryOrFail(RelayedRequest relayed) {
        runDirectory.getState(relayed.owner).whenComplete((state, cause) -> {
            boolean overdue = timers.nowMillis() + RELAY_RETRY_DELAY_MILLIS > relayed.deadlineMillis;
            if (cause == null && state == NodeRunState.GONE) {
                relayed.result.complete(Either.left(KeyFaults.ownerEnded(relayed.owner)));
            } else if (cause != null || state == NodeRunState.UNREACHABLE || overdue) {
                relayed.result.complete(Either.left(KeyFaults.ownerUnreachable(relayed.owner)));
            } else {
                timers.runAfter(RELAY_RETRY_DELAY_MILLIS, () -> send(relayed));
            }
        });
    }

    private Frame.Builder toFrame(Either<Fault, PlainResponse> result) {
        KeyResult message = KeyMessages.toMessage(result);
        if (message.getSerializedSize() > MAX_RELAYED_BYTES) {
            message = KeyMessages.toMessage(Either.left(KeyFaults.responseTooLarge(self)));
        }
        return Frame.newBuilder().setKeyResult(message);
    }

    private static IdempotencyKey createKey(PlainRequest request) {
        return new IdempotencyKey(request.caller(), request.idempotencyKey().orElse(""));
    }

    private static PlainRequest withTimeout(PlainRequest request, long millis) {
        return new PlainRequest(
                request.id(),
                request.caller(),
                request.service(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.idempotencyKey(),
                request.idempotent(),
                millis);
    }

    private static long estimateBytes(PlainResponse response) {
        long bytes = response.body().length;
        for (var header : response.headers().entrySet()) {
            bytes += 2L * (header.getKey().length() + header.getValue().length());
        }
        return bytes;
    }

    private static CompletionStage<Either<Fault, PlainResponse>> failed(Fault fault) {
        return CompletableFuture.completedFuture(Either.left(fault));
    }

    /** Holds a request that is relayed to the node run that owns its key. */
    private static final class RelayedRequest {
        private final PlainRequest request;
        private final NodeRun owner;
        private final boolean claimed;
        private final long deadlineMillis;
        private final CompletableFuture<Either<Fault, PlainResponse>> result = new CompletableFuture<>();

        RelayedRequest(PlainRequest request, NodeRun owner, boolean claimed, long deadlineMillis) {
            this.request = request;
            this.owner = owner;
            this.claimed = claimed;
            this.deadlineMillis = deadlineMillis;
        }
    }
}
