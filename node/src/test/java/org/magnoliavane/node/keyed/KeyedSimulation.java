package org.magnoliavane.node.keyed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.node.log.LogPage;
import org.magnoliavane.node.log.LogRecord;
import org.magnoliavane.node.log.LogService;
import org.magnoliavane.node.log.LogUnavailableException;
import org.magnoliavane.node.membership.NodeRunDirectory;
import org.magnoliavane.node.membership.NodeRunState;
import org.magnoliavane.node.peer.Peers;
import org.magnoliavane.protocol.generated.Frame;

/** Simulates several nodes, their network, the log service and a backend server on one thread in virtual time. */
final class KeyedSimulation {
    static final long START_MILLIS = 1_000_000_000L;

    private final Random random;
    private final int maxKeys;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<LogRecord> log = new ArrayList<>();
    private final List<Execution> executions = new ArrayList<>();
    private final List<RequestResult> results = new ArrayList<>();
    private final List<String> tokens = new ArrayList<>();
    private long now = START_MILLIS;
    private long sequence;
    private long lastRunEndMillis = Long.MIN_VALUE;
    private boolean logOutage;

    KeyedSimulation(long seed, int count, int maxKeys) {
        random = new Random(seed);
        this.maxKeys = maxKeys;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("entry-" + i));
        }
        nodes.forEach(Node::start);
    }

    /** Holds the result of one request and the time at which the caller received it. */
    record RequestResult(String key, String content, long atMillis, Either<Fault, PlainResponse> result) {}

    /** Holds one execution at a backend server, with the time at which the caller sent the request. */
    record Execution(String key, String content, long sentMillis) {}

    /** Holds a step of a node run, or of the environment when the node is null. */
    private record Event(long atMillis, long order, Node node, int incarnation, Runnable step)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Long.compare(order, other.order);
        }
    }

    Random getRandom() {
        return random;
    }

    List<RequestResult> getResults() {
        return results;
    }

    List<Execution> getExecutions() {
        return executions;
    }

    String issueToken() {
        String token = nodes.get(random.nextInt(nodes.size())).service.issueRunToken();
        tokens.add(token);
        return token;
    }

    void scheduleAfter(long millis, Runnable step) {
        schedule(millis, null, step);
    }

    void send(String key, String content, long timeoutMillis) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        if (!node.up) {
            return;
        }
        PlainRequest request = new PlainRequest(
                Long.toString(now),
                "caller",
                "bookings",
                "POST",
                "/bookings",
                Map.of(),
                content.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                Optional.of(key),
                false,
                timeoutMillis);
        schedule(
                random.nextInt(20),
                node,
                () -> node.service
                        .execute(request)
                        .thenAccept(result -> results.add(new RequestResult(key, content, now, result))));
    }

    void setOutage(boolean value) {
        logOutage = value;
    }

    void pauseRandomNode(long millis) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        node.pausedUntil = now + millis;
    }

    void crashRandomNode(long downMillis) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        node.incarnation++;
        node.up = false;
        schedule(downMillis, null, node::start);
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = Math.max(now, event.atMillis);
            if (now > START_MILLIS + 40 * 60_000L) {
                return;
            }
            Node node = event.node;
            if (node != null && node.incarnation != event.incarnation) {
                continue;
            }
            if (node != null && node.pausedUntil > now) {
                events.add(new Event(node.pausedUntil, event.order, node, event.incarnation, event.step));
                continue;
            }
            event.step.run();
        }
    }

    private void schedule(long millis, Node node, Runnable step) {
        events.add(new Event(now + millis, sequence++, node, node == null ? 0 : node.incarnation, step));
    }

    private boolean drawChance(int percent) {
        return random.nextInt(100) < percent;
    }

    /** Simulates one entry VM. Each incarnation of its process is a new node run. */
    private final class Node implements Peers, NodeRunDirectory, PlainDispatcher, LogService, Timers {
        private final String name;
        private int incarnation;
        private boolean up;
        private long pausedUntil;
        private NodeRun run;
        private PeerKeyedRequestService service;

        Node(String name) {
            this.name = name;
        }

        void start() {
            if (up) {
                return;
            }
            if (run != null) {
                lastRunEndMillis = now;
            }
            up = true;
            run = new NodeRun(name, random.nextInt(1 << 30));
            service = new PeerKeyedRequestService(run, this, this, this, this, this, maxKeys);
        }

        @Override
        public long nowMillis() {
            return now;
        }

        @Override
        public Runnable runAfter(long millis, Runnable task) {
            boolean[] cancelled = new boolean[1];
            schedule(millis, this, () -> {
                if (!cancelled[0]) {
                    task.run();
                }
            });
            return () -> cancelled[0] = true;
        }

        @Override
        public Optional<NodeRun> findRun(String node) {
            Node target = find(node);
            return target.up && !drawChance(10) ? Optional.of(target.run) : Optional.empty();
        }

        @Override
        public OptionalLong findConnectionId(String node) {
            return OptionalLong.of(1);
        }

        @Override
        public void send(String node, Frame.Builder message) {}

        @Override
        public CompletionStage<NodeRun> fetchRun(String node) {
            return CompletableFuture.completedFuture(find(node).run);
        }

        @Override
        public CompletionStage<Frame> sendRequest(String node, Frame.Builder request, long timeoutMillis) {
            CompletableFuture<Frame> result = new CompletableFuture<>();
            Frame frame = request.build();
            Node target = find(node);
            schedule(timeoutMillis, this, () -> result.completeExceptionally(new IOException("timeout")));
            if (target.up && !drawChance(10)) {
                boolean lost = drawChance(10);
                schedule(
                        1 + random.nextInt(20),
                        target,
                        () -> target.receive(frame, reply -> {
                            if (!lost) {
                                schedule(1 + random.nextInt(20), this, () -> result.complete(reply.build()));
                            }
                        }));
            }
            return result;
        }

        private void receive(Frame frame, java.util.function.Consumer<Frame.Builder> reply) {
            if (frame.hasKeyCall()) {
                service.handle(frame.getKeyCall(), reply);
            } else {
                service.handle(frame.getVoidKey(), reply);
            }
        }

        @Override
        public CompletionStage<NodeRunState> getState(NodeRun asked) {
            Node target = find(asked.node());
            NodeRunState state = !target.up ? NodeRunState.UNREACHABLE : NodeRunState.LIVE;
            if (target.up && !target.run.equals(asked)) {
                state = NodeRunState.GONE;
            }
            return CompletableFuture.completedFuture(state);
        }

        @Override
        public List<String> getListedNodes() {
            return nodes.stream().filter(n -> n != this).map(n -> n.name).toList();
        }

        @Override
        public long getMillisSinceLastRunEnd() {
            return lastRunEndMillis == Long.MIN_VALUE ? Long.MAX_VALUE : now - lastRunEndMillis;
        }

        @Override
        public CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest request) {
            CompletableFuture<Either<Fault, PlainResponse>> result = new CompletableFuture<>();
            if (drawChance(10)) {
                Fault refusal = Fault.notRun(FaultKind.UNAVAILABLE, "refused", "later");
                schedule(2, this, () -> result.complete(Either.left(refusal)));
                return result;
            }
            String key = request.idempotencyKey().orElseThrow();
            String content = new String(request.body(), java.nio.charset.StandardCharsets.UTF_8);
            executions.add(new Execution(key, content, Long.parseLong(request.id())));
            byte[] body = ("answer " + sequence).getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Either<Fault, PlainResponse> answer = drawChance(10)
                    ? Either.left(Fault.unknownOutcome(FaultKind.BACKEND_FAILED, "no answer", "ask"))
                    : Either.right(new PlainResponse(201, Map.of(), body));
            schedule(random.nextInt(400), this, () -> result.complete(answer));
            return result;
        }

        @Override
        public CompletionStage<Long> append(String stream, byte[] data) {
            CompletableFuture<Long> result = new CompletableFuture<>();
            boolean responseLost = drawChance(logOutage ? 30 : 10);
            boolean applied = responseLost ? drawChance(60) : !logOutage;
            if (applied) {
                // An append whose response is lost may take effect long after the sender stopped waiting for it.
                schedule(responseLost ? random.nextInt(4000) : random.nextInt(10), null, () -> {
                    long offset = log.size();
                    log.add(new LogRecord(offset, now, data));
                    if (!responseLost) {
                        schedule(random.nextInt(10), this, () -> result.complete(offset));
                    }
                });
            }
            if (responseLost || !applied) {
                schedule(
                        50,
                        this,
                        () -> result.completeExceptionally(
                                new LogUnavailableException("no answer", responseLost, null)));
            }
            return result;
        }

        @Override
        public CompletionStage<LogPage> read(String stream, long fromOffset, int limit, long waitMillis) {
            CompletableFuture<LogPage> result = new CompletableFuture<>();
            if (logOutage) {
                schedule(
                        10,
                        this,
                        () -> result.completeExceptionally(new LogUnavailableException("outage", false, null)));
                return result;
            }
            // Polls less often as simulated time passes, which limits the number of events of long simulations.
            long wait = fromOffset < log.size() ? 5 : Math.min(waitMillis, 20 + (now - START_MILLIS) / 1000);
            schedule(wait, this, () -> {
                int first = (int) Math.min(fromOffset, log.size());
                result.complete(new LogPage(0, log.size(), List.copyOf(log.subList(first, log.size()))));
            });
            return result;
        }

        private Node find(String node) {
            return nodes.stream().filter(n -> n.name.equals(node)).findFirst().orElseThrow();
        }
    }
}
