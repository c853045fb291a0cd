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
import org.magnoliavane.node.membership.RunDirectory;
import org.magnoliavane.node.membership.RunState;
import org.magnoliavane.node.peer.Peers;
import org.magnoliavane.protocol.generated.Frame;

/** Runs several nodes, their network, the log and the backend on one thread and in virtual time. */
final class KeyedSimulation {
    static final long START_MILLIS = 1_000_000_000L;

    private final Random random;
    private final int maxKeys;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<LogRecord> log = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final List<String> tokens = new ArrayList<>();
    private long now = START_MILLIS;
    private long sequence;
    private long lastLoss = Long.MIN_VALUE;
    private boolean outage;

    KeyedSimulation(long seed, int count, int maxKeys) {
        random = new Random(seed);
        this.maxKeys = maxKeys;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("entry-" + i));
        }
        nodes.forEach(Node::boot);
    }

    /** Holds one answer to one request. */
    record Answer(String key, String content, long atMillis, Either<Fault, PlainResponse> result) {}

    /** Holds one run of a call at a backend server, with the time at which its request was sent. */
    record Run(String key, String content, long sentMillis) {}

    /** Holds a step of a node run, or of the world when the node is null. */
    private record Event(long at, long order, Node node, int life, Runnable step) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    Random getRandom() {
        return random;
    }

    List<Answer> getAnswers() {
        return answers;
    }

    List<Run> getRuns() {
        return runs;
    }

    String issueToken() {
        String token = nodes.get(random.nextInt(nodes.size())).service.issueRunToken();
        tokens.add(token);
        return token;
    }

    void at(long millis, Runnable step) {
        schedule(millis, null, step);
    }

    void send(String key, String content, long timeoutMillis) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        if (!node.up) {
            return;
        }
        PlainRequest call = new PlainRequest(
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
                () -> node.service.call(call).thenAccept(result -> answers.add(new Answer(key, content, now, result))));
    }

    void setOutage(boolean value) {
        outage = value;
    }

    void pause(long millis) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        node.pausedUntil = now + millis;
    }

    void kill(long downMillis) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        node.life++;
        node.up = false;
        schedule(downMillis, null, node::boot);
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            if (now > START_MILLIS + 40 * 60_000L) {
                return;
            }
            Node node = event.node;
            if (node != null && node.life != event.life) {
                continue;
            }
            if (node != null && node.pausedUntil > now) {
                events.add(new Event(node.pausedUntil, event.order, node, event.life, event.step));
                continue;
            }
            event.step.run();
        }
    }

    private void schedule(long millis, Node node, Runnable step) {
        events.add(new Event(now + millis, sequence++, node, node == null ? 0 : node.life, step));
    }

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    /** Is one entry VM; each life of its process is another run. */
    private final class Node implements Peers, RunDirectory, PlainDispatcher, LogService, Timers {
        private final String name;
        private int life;
        private boolean up;
        private long pausedUntil;
        private NodeRun run;
        private KeyedCallService service;

        Node(String name) {
            this.name = name;
        }

        void boot() {
            if (up) {
                return;
            }
            if (run != null) {
                lastLoss = now;
            }
            up = true;
            run = new NodeRun(name, random.nextInt(1 << 30));
            service = new KeyedCallService(run, this, this, this, this, this, maxKeys);
        }

        @Override
        public long nowMillis() {
            return now;
        }

        @Override
        public Runnable after(long millis, Runnable task) {
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
            return target.up && !chance(10) ? Optional.of(target.run) : Optional.empty();
        }

        @Override
        public OptionalLong findConnection(String node) {
            return OptionalLong.of(1);
        }

        @Override
        public void send(String node, Frame.Builder message) {}

        @Override
        public CompletionStage<NodeRun> probe(String node) {
            return CompletableFuture.completedFuture(find(node).run);
        }

        @Override
        public CompletionStage<Frame> call(String node, Frame.Builder request, long timeoutMillis) {
            CompletableFuture<Frame> result = new CompletableFuture<>();
            Frame frame = request.build();
            Node target = find(node);
            schedule(timeoutMillis, this, () -> result.completeExceptionally(new IOException("timeout")));
            if (target.up && !chance(10)) {
                boolean lost = chance(10);
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
                service.answer(frame.getKeyCall(), reply);
            } else {
                service.answer(frame.getVoidKey(), reply);
            }
        }

        @Override
        public CompletionStage<RunState> getState(NodeRun asked) {
            Node target = find(asked.node());
            RunState state = !target.up ? RunState.UNREACHABLE : RunState.LIVE;
            if (target.up && !target.run.equals(asked)) {
                state = RunState.GONE;
            }
            return CompletableFuture.completedFuture(state);
        }

        @Override
        public List<String> getListedNodes() {
            return nodes.stream().filter(n -> n != this).map(n -> n.name).toList();
        }

        @Override
        public long getMillisSinceLoss() {
            return lastLoss == Long.MIN_VALUE ? Long.MAX_VALUE : now - lastLoss;
        }

        @Override
        public CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest call) {
            CompletableFuture<Either<Fault, PlainResponse>> result = new CompletableFuture<>();
            if (chance(10)) {
                Fault refused = Fault.notRun(FaultKind.UNAVAILABLE, "refused", "later");
                schedule(2, this, () -> result.complete(Either.left(refused)));
                return result;
            }
            String key = call.idempotencyKey().orElseThrow();
            String content = new String(call.body(), java.nio.charset.StandardCharsets.UTF_8);
            runs.add(new Run(key, content, Long.parseLong(call.request())));
            byte[] body = ("answer " + sequence).getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Either<Fault, PlainResponse> answer = chance(10)
                    ? Either.left(Fault.unknownOutcome(FaultKind.BACKEND_FAILED, "no answer", "ask"))
                    : Either.right(new PlainResponse(201, Map.of(), body));
            schedule(random.nextInt(400), this, () -> result.complete(answer));
            return result;
        }

        @Override
        public CompletionStage<Long> append(String stream, byte[] data) {
            CompletableFuture<Long> result = new CompletableFuture<>();
            boolean answerLost = chance(outage ? 30 : 10);
            boolean applied = answerLost ? chance(60) : !outage;
            if (applied) {
                // An append whose answer is lost may take effect long after its sender has given up.
                schedule(answerLost ? random.nextInt(4000) : random.nextInt(10), null, () -> {
                    long offset = log.size();
                    log.add(new LogRecord(offset, now, data));
                    if (!answerLost) {
                        schedule(random.nextInt(10), this, () -> result.complete(offset));
                    }
                });
            }
            if (answerLost || !applied) {
                schedule(
                        50,
                        this,
                        () -> result.completeExceptionally(new LogUnavailableException("no answer", answerLost, null)));
            }
            return result;
        }

        @Override
        public CompletionStage<LogPage> read(String stream, long from, int limit, long waitMillis) {
            CompletableFuture<LogPage> result = new CompletableFuture<>();
            if (outage) {
                schedule(
                        10,
                        this,
                        () -> result.completeExceptionally(new LogUnavailableException("outage", false, null)));
                return result;
            }
            // Polls less often as time goes on, so that long runs stay short.
            long wait = from < log.size() ? 5 : Math.min(waitMillis, 20 + (now - START_MILLIS) / 1000);
            schedule(wait, this, () -> {
                int first = (int) Math.min(from, log.size());
                result.complete(new LogPage(0, log.size(), List.copyOf(log.subList(first, log.size()))));
            });
            return result;
        }

        private Node find(String node) {
            return nodes.stream().filter(n -> n.name.equals(node)).findFirst().orElseThrow();
        }
    }
}
