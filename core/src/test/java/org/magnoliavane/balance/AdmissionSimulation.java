package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.magnoliavane.routing.EngineProfile;

/**
 * Plays the admission of streams at many nodes in virtual time: nodes that know loads by reports of some age, owners of workers,
 * datagrams that are delayed and lost, and engines that refuse what does not fit. Nodes either poll, as before owners kept
 * waiting requests, or wait at the owners.
 */
final class AdmissionSimulation {
    static final EngineProfile ENGINE = new EngineProfile(64, 45_005, 500);
    private static final long UNRESPONSIVE_MILLIS = 2500;
    private static final int ASKING = 4;

    /** A class of streams; a late one starts after its on-time limit and before its hard limit. */
    record Kind(
            int urgency,
            double perSecond,
            long onTimeMillis,
            long limitMillis,
            double value,
            double late,
            int tokens) {}

    /** What is played. */
    static final class Load {
        int nodes = 66;
        int workers = 42;
        boolean ordered = true;
        boolean refuses = true;
        List<Kind> kinds = List.of();
        double meanMillis = 6000;
        long endMillis = 35_000;
        long burstFromMillis = 20_000;
        long burstToMillis = 25_000;
        double[] burstFactors = {1, 1, 1};
        double lossShare = 0.001;
        int lostOwners;
        int asks = 6;
        int overdueAsks = 1;
        boolean frozen;
        long seed = 1;
    }

    /** What was measured; arrays are by kind. */
    static final class Result {
        final int[] arrived = new int[3];
        final int[] onTime = new int[3];
        final int[] late = new int[3];
        final int[] refused = new int[3];
        final int[] heldInVain = new int[3];
        double value;
        double possible;
        int engineRefusals;
        int decisions;
        long messages;
        int tokensLeft;

        /** Gets the messages for a decision, corrected for those that a node needs not send to itself. */
        double getMessagesPerDecision(int nodes) {
            return (double) messages / decisions * nodes / (nodes - 1);
        }

        double getOnTimeShare(int kind) {
            return (double) onTime[kind] / arrived[kind];
        }
    }

    private record Event(long atMillis, long number, Runnable task) {}

    private final Load load;
    private final Random random;
    private final Result result = new Result();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Node> nodes = new ArrayList<>();
    private final int[] used;
    private final Map<Long, Ask> asksById = new HashMap<>();
    private long lastNumber;
    private long now;

    private AdmissionSimulation(Load load) {
        this.load = load;
        this.random = new Random(load.seed);
        this.used = new int[load.workers];
        IntStream.range(0, load.nodes).forEach(n -> nodes.add(new Node(n)));
    }

    static Result play(Load load) {
        return new AdmissionSimulation(load).run();
    }

    private Result run() {
        for (int k = 0; k < load.kinds.size(); k++) {
            for (double at = 0; at < load.endMillis; ) {
                boolean burst = at >= load.burstFromMillis && at < load.burstToMillis;
                at += -Math.log(1 - random.nextDouble())
                        * 1000
                        / (load.kinds.get(k).perSecond * (burst ? load.burstFactors[k] : 1));
                Request request = new Request(k, (long) at);
                post((long) at, request::arrive);
            }
        }
        nodes.forEach(n -> post(random.nextInt(n.reportMillis), n::readReports));
        for (int n = 0; n < load.lostOwners; n++) {
            Node lost = nodes.get(n);
            post(load.burstFromMillis + 500, () -> lost.fail(load.frozen));
        }
        long lastMillis = load.endMillis + 40_000;
        while (!events.isEmpty() && events.peek().atMillis <= lastMillis) {
            Event event = events.poll();
            now = event.atMillis;
            event.task.run();
        }
        for (int w = 0; w < load.workers; w++) {
            result.tokensLeft += used[w] + findOwner(w).table.countTokens("w" + w, now);
        }
        return result;
    }

    private void post(long delayMillis, Runnable task) {
        events.add(new Event(now + delayMillis, ++lastNumber, task));
    }

    private void send(Node from, Node to, Runnable task) {
        if (from == to) {
            task.run();
            return;
        }
        result.messages++;
        if (random.nextDouble() >= load.lossShare) {
            post(1, () -> to.receive(task));
        }
    }

    /** Finds the owner of a worker among the nodes that count as live. */
    private Node findOwner(int worker) {
        int owner = worker % load.nodes;
        while (now - nodes.get(owner).failedMillis >= UNRESPONSIVE_MILLIS) {
            owner = (owner + 1) % load.nodes;
        }
        return nodes.get(owner);
    }

    private final class Node {
        final String name;
        final int reportMillis = 250 * (1 + load.nodes / 16);
        ReservationTable table = new ReservationTable(3000);
        final AdmissionQueue<Request> queue = new AdmissionQueue<>();
        final Set<Request> asking = new HashSet<>();
        final AdmissionForecast forecast = new AdmissionForecast();
        int[] view = new int[load.workers];
        final long[] fullUntilMillis = new long[load.workers];
        long onTimeElsewhereUntilMillis;
        long failedMillis = Long.MAX_VALUE;
        long thawMillis;
        boolean killed;
        boolean polling;

        Node(int number) {
            name = "n" + number;
        }

        void receive(Runnable task) {
            if (now < thawMillis) {
                post(thawMillis - now, () -> receive(task));
            } else if (!killed) {
                task.run();
            }
        }

        void fail(boolean frozen) {
            failedMillis = now;
            killed = !frozen;
            thawMillis = frozen ? now + UNRESPONSIVE_MILLIS - 500 : 0;
            if (frozen) {
                post(thawMillis - now, () -> failedMillis = Long.MAX_VALUE);
            }
        }

        void readReports() {
            view = used.clone();
            boolean others = nodes.stream().anyMatch(n -> n != this && n.queue.hasOnTime(now));
            onTimeElsewhereUntilMillis = others ? now + 400 : 0;
            nodes.stream().filter(n -> n != this).forEach(n -> forecast.updatePeer(n.name, n.getBacklogs(), now));
            post(reportMillis, this::readReports);
        }

        List<Backlog> getBacklogs() {
            return queue.getAll().stream()
                    .map(e -> new Backlog("s", e.urgency(), 1, e.request().kind.tokens))
                    .toList();
        }

        Optional<Integer> chooseFree(Request request, Set<Integer> tried) {
            return IntStream.range(0, load.workers)
                    .boxed()
                    .filter(w -> !tried.contains(w) && fullUntilMillis[w] <= now)
                    .filter(w -> view[w] + request.kind.tokens <= ENGINE.getUsableTokens())
                    .min(Comparator.comparingDouble(w -> view[w] + 250 * random.nextDouble()));
        }

        void pump() {
            for (AdmissionQueue.Entry<Request> entry : queue.peekFirst(ASKING, now)) {
                Request request = entry.request();
                boolean yields = entry.isOverdue(now) && now < onTimeElsewhereUntilMillis;
                boolean mayAsk = load.ordered || asking.isEmpty();
                if (!yields && mayAsk && !asking.contains(request)) {
                    request.tryAdmit();
                }
            }
            if (queue.size() > asking.size() && !polling) {
                polling = true;
                post(1 + random.nextInt(30), () -> {
                    polling = false;
                    pump();
                });
            }
        }
    }

    private final class Request {
        final int kindNumber;
        final Kind kind;
        final long arrivalMillis;
        final Map<Integer, Ask> asks = new LinkedHashMap<>();
        final Set<Integer> rejected = new HashSet<>();
        final Set<Integer> asked = new HashSet<>();
        int looks;
        Node node;
        Optional<AdmissionQueue.Entry<Request>> entry = Optional.empty();
        int attempts;

        Request(int kindNumber, long arrivalMillis) {
            this.kindNumber = kindNumber;
            this.kind = load.kinds.get(kindNumber);
            this.arrivalMillis = arrivalMillis;
        }

        void arrive() {
            if (attempts++ == 0) {
                result.arrived[kindNumber]++;
                result.possible += kind.value;
            }
            List<Node> live = nodes.stream().filter(n -> n.failedMillis > now).toList();
            node = live.get(random.nextInt(live.size()));
            if (!refuseHopeless(kind.urgency)) {
                result.decisions++;
                enqueue();
                post(Math.max(0, arrivalMillis + kind.limitMillis - now), this::giveUp);
            }
        }

        boolean refuseHopeless(int urgency) {
            long leftMillis = arrivalMillis + kind.limitMillis - now;
            long waitMillis = node.forecast
                    .estimateWaitMillis("s", urgency, node.getBacklogs(), ENGINE, load.workers, now)
                    .orElse(0);
            if (!load.refuses || waitMillis == 0 || !AdmissionForecast.isHopeless(waitMillis, leftMillis)) {
                return false;
            }
            result.refused[kindNumber] += attempts == 1 ? 1 : 0;
            long retryMillis = AdmissionForecast.computeRetryAfterMillis(waitMillis, leftMillis, random.nextDouble());
            if (attempts < 4 && retryMillis < leftMillis) {
                post(retryMillis, this::arrive);
            }
            return true;
        }

        void enqueue() {
            int urgency = load.ordered ? kind.urgency : 0;
            entry = Optional.of(node.queue.add(this, urgency, arrivalMillis, arrivalMillis + kind.onTimeMillis));
            AdmissionQueue.Entry<Request> waited = entry.get();
            post(Math.max(0, arrivalMillis + kind.onTimeMillis + 1 - now), () -> checkOverdue(waited));
            node.pump();
        }

        /** Refuses an overdue request while it waits, for which all others count as ahead. */
        void checkOverdue(AdmissionQueue.Entry<Request> waited) {
            if (entry.filter(e -> e == waited).isEmpty()) {
                return;
            }
            if (refuseHopeless(Integer.MAX_VALUE)) {
                leaveQueue();
                node.pump();
                return;
            }
            post(200, () -> checkOverdue(waited));
        }

        void leaveQueue() {
            entry.ifPresent(node.queue::remove);
            entry = Optional.empty();
            node.asking.remove(this);
            List.copyOf(asks.values()).forEach(Ask::release);
            asks.clear();
            rejected.clear();
            asked.clear();
        }

        void giveUp() {
            if (entry.isPresent() && now >= arrivalMillis + kind.limitMillis) {
                result.heldInVain[kindNumber]++;
                leaveQueue();
                node.pump();
            }
        }

        void tryAdmit() {
            Optional<Integer> free = node.chooseFree(this, Set.of());
            if (free.isPresent() || load.ordered) {
                node.asking.add(this);
                ask(free.orElseGet(this::chooseOfTwo), free.isPresent());
                post(200, this::lookForFree);
            }
        }

        int chooseOfTwo() {
            int a = random.nextInt(load.workers);
            int b = random.nextInt(load.workers);
            return node.view[a] <= node.view[b] ? a : b;
        }

        void ask(int worker, boolean free) {
            Ask ask = new Ask(this, worker, free);
            Optional.ofNullable(asks.put(worker, ask)).ifPresent(Ask::release);
            asked.add(worker);
            ask.send();
            post(25, ask::handleSilence);
        }

        void askAnother() {
            if (load.ordered && asks.size() < getMaxAsks() && entry.isPresent()) {
                Set<Integer> tried = new HashSet<>(rejected);
                tried.addAll(asks.keySet());
                Optional<Integer> free = node.chooseFree(this, tried);
                int other = free.orElseGet(this::chooseOfTwo);
                if (!tried.contains(other)) {
                    ask(other, free.isPresent());
                }
            }
        }

        int getMaxAsks() {
            return now - arrivalMillis > kind.onTimeMillis ? load.overdueAsks : load.asks;
        }

        void lookForFree() {
            while (asks.size() > getMaxAsks()) {
                asks.remove(asks.keySet().iterator().next()).release();
            }
            if (asks.isEmpty() || asks.values().stream().anyMatch(a -> !a.waiting)) {
                return;
            }
            if (++looks % 5 == 0) {
                asked.retainAll(asks.keySet());
            }
            node.chooseFree(this, asked).ifPresent(w -> {
                if (asks.size() >= getMaxAsks()) {
                    asks.remove(asks.keySet().iterator().next()).release();
                }
                ask(w, true);
            });
            post(200, this::lookForFree);
        }

        void start(Ask ask) {
            asks.remove(ask.worker);
            leaveQueue();
            node.pump();
            if (used[ask.worker] > 0 && used[ask.worker] + kind.tokens > ENGINE.kvCapacityTokens()) {
                result.engineRefusals++;
                ask.release();
                node.fullUntilMillis[ask.worker] = now + 120;
                enqueue();
                return;
            }
            long waitedMillis = now - arrivalMillis;
            boolean isOnTime = waitedMillis <= kind.onTimeMillis;
            (isOnTime ? result.onTime : result.late)[kindNumber]++;
            result.value += isOnTime ? kind.value : kind.late;
            used[ask.worker] += kind.tokens;
            node.view[ask.worker] += kind.tokens;
            ask.renew();
            long millis = (long) (load.meanMillis * (0.25 + 1.5 * random.nextDouble()));
            post(millis, () -> {
                used[ask.worker] -= kind.tokens;
                node.view[ask.worker] = Math.max(0, node.view[ask.worker] - kind.tokens);
                node.forecast.recordReservation("s", kind.tokens, millis);
                ask.release();
                node.pump();
            });
        }
    }

    private final class Ask {
        final long id = ++lastNumber;
        final Request request;
        final int worker;
        final boolean free;
        final long sinceMillis = now;
        final Demand demand;
        boolean replied;
        boolean waiting;
        boolean granted;
        boolean released;
        long lastReplyMillis = now;

        Ask(Request request, int worker, boolean free) {
            this.request = request;
            this.worker = worker;
            this.free = free;
            long ageMillis = now - request.arrivalMillis;
            Kind kind = request.kind;
            demand = new Demand(
                    "w" + worker,
                    kind.tokens,
                    ENGINE.getUsableTokens(),
                    ENGINE.slots(),
                    load.ordered ? kind.urgency : 0,
                    ageMillis,
                    kind.onTimeMillis - ageMillis,
                    load.ordered ? Math.max(0, kind.limitMillis - ageMillis) : 0,
                    free);
            asksById.put(id, this);
        }

        void send() {
            Node owner = findOwner(worker);
            AdmissionSimulation.this.send(request.node, owner, () -> {
                Reply reply = owner.table.request(request.node.name, id, demand.after(now - sinceMillis), now);
                AdmissionSimulation.this.send(owner, request.node, () -> handle(reply));
                sendGrants(owner);
            });
        }

        private void sendGrants(Node owner) {
            owner.table.takeGrants("w" + worker, now).forEach(h -> {
                Ask other = asksById.get(h.id());
                AdmissionSimulation.this.send(owner, other.request.node, () -> other.handle(Reply.GRANTED));
            });
        }

        void handleSilence() {
            if (!replied) {
                handle(free ? Reply.GRANTED : Reply.REJECTED);
            }
        }

        void handle(Reply reply) {
            lastReplyMillis = now;
            if (released) {
                if (reply != Reply.REJECTED) {
                    sendRelease();
                }
                return;
            }
            boolean first = !replied;
            replied = true;
            if (granted || reply == Reply.WAITING && waiting) {
                return;
            }
            if (reply == Reply.GRANTED) {
                granted = true;
                request.start(this);
            } else if (reply == Reply.WAITING && first) {
                waiting = true;
                post(200, this::repeat);
                request.askAnother();
            } else if (reply == Reply.REJECTED) {
                request.node.fullUntilMillis[worker] = now + 100;
                request.rejected.add(worker);
                request.asks.remove(worker);
                release();
                if (request.rejected.size() < 2) {
                    request.askAnother();
                }
                if (request.asks.isEmpty()) {
                    request.rejected.clear();
                    request.node.asking.remove(request);
                    request.node.pump();
                }
            }
        }

        private void repeat() {
            if (released || granted) {
                return;
            }
            if (now - lastReplyMillis >= 650) {
                handle(Reply.REJECTED);
                return;
            }
            send();
            post(200, this::repeat);
        }

        /** Renewals are sent for all reservations of a node together, and are not counted as messages of a decision. */
        void renew() {
            if (!released) {
                Node owner = findOwner(worker);
                owner.receive(() -> {
                    if (!released) {
                        owner.table.renew(request.node.name, id, demand, now);
                    }
                });
                post(700, this::renew);
            }
        }

        void release() {
            if (!released) {
                released = true;
                sendRelease();
            }
        }

        private void sendRelease() {
            Node owner = findOwner(worker);
            AdmissionSimulation.this.send(request.node, owner, () -> {
                owner.table.release("w" + worker, request.node.name, id, now);
                sendGrants(owner);
            });
        }
    }
}
