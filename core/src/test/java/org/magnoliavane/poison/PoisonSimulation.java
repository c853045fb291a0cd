package org.magnoliavane.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Plays nodes and workers in virtual time, where requests with guilty parts crash the workers that run them. Nodes exchange
 * evidence by reports that may be late or lost.
 */
final class PoisonSimulation {
    /** Time after a disturbance from which a node counts as in touch, and after the fifth crash from which the bound holds. */
    static final long CONTACT_MILLIS = 3000;

    private static final int CRASHES_OF_RULE = 5;
    private static final long ROUND_MILLIS = 250;
    private static final int NODES_PER_ROUND = 16;
    private static final int MAX_EVIDENCE = 64;
    private static final long PREFILL_MILLIS = 150;
    private static final long CHECK_MILLIS = 5;
    private static final long DOWN_MILLIS = 3000;
    private static final int FIRST_PART = 1;

    /** Describes a load. The fields are those of the default load, and each case changes some. */
    static final class Load {
        int nodes = 7;
        int workers = 8;
        int slots = 64;
        int seconds = 40;
        double requestsPerSecond = 12;
        double poisonShare = 0.1;
        long poisonFromMillis = 5000;
        long poisonToMillis = Long.MAX_VALUE;
        long repairedAtMillis = Long.MAX_VALUE;
        long crashAfterMillis = 90;
        long meanAnswerMillis = 1500;
        int soundParts = 30;
        double otherCrashesPerSecond;
        double lossShare = 0.05;
        long delayMillis = 5;
        long restartNodeAtMillis = Long.MAX_VALUE;
        long cutNodeFromMillis = Long.MAX_VALUE;
        long cutNodeToMillis = Long.MAX_VALUE;
        boolean killWitness;
        Function<Random, List<Long>> poisonParts = random -> List.of((long) FIRST_PART, 666L);
        Set<Long> guilty = Set.of(666L);
    }

    private final Load load;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<Node> nodes = new ArrayList<>();
    private final List<Worker> workers = new ArrayList<>();
    private final Map<Long, List<Long>> crashesByPart = new HashMap<>();
    private final Map<Long, Integer> lateByPart = new HashMap<>();
    private final List<Sent> sound = new ArrayList<>();
    private final List<Sent> poison = new ArrayList<>();
    private long now;
    private long order;
    private long nextContent = 1_000_000;
    private int lostWorkers;
    private int messages;

    PoisonSimulation(Load load, long seed) {
        this.load = load;
        this.random = new Random(seed);
        for (int i = 0; i < load.nodes; i++) {
            nodes.add(new Node(i));
        }
        for (int i = 0; i < load.workers; i++) {
            workers.add(new Worker(i));
        }
    }

    /** Plays the load to its end. */
    PoisonSimulation play() {
        long endMillis = load.seconds * 1000L;
        at(0, this::arrive);
        nodes.forEach(n -> at(random.nextInt((int) ROUND_MILLIS), n::sendRound));
        if (load.otherCrashesPerSecond > 0) {
            at(0, this::crashOther);
        }
        at(load.restartNodeAtMillis, () -> nodes.get(0).restart());
        while (!events.isEmpty() && events.peek().atMillis <= endMillis) {
            Event event = events.remove();
            now = event.atMillis;
            event.task.run();
        }
        return this;
    }

    /** Counts the requests with guilty parts that nodes in touch sent later than the contact time after the fifth crash. */
    int countLate() {
        return lateByPart.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    int countLostWorkers() {
        return lostWorkers;
    }

    /** Gets the share of the sound requests with the same first part that were sent to a worker, once the bound holds. */
    double getSoundShare() {
        long decisive = crashesByPart.values().stream()
                .mapToLong(c -> c.get(Math.min(c.size(), CRASHES_OF_RULE) - 1))
                .max()
                .orElse(0);
        List<Sent> settled = sound.stream()
                .filter(s -> s.atMillis >= decisive + 2 * CONTACT_MILLIS && s.inTouch)
                .toList();
        return settled.isEmpty() ? 1 : settled.stream().filter(s -> s.sent).count() / (double) settled.size();
    }

    /** Gets the share of the requests with guilty parts that were sent to a worker from a time on. */
    double getPoisonShareSince(long millis) {
        List<Sent> later = poison.stream().filter(s -> s.atMillis >= millis).toList();
        return later.stream().filter(s -> s.sent).count() / (double) later.size();
    }

    String summarize() {
        return lostWorkers + " workers lost, " + countLate() + " late requests, "
                + Math.round(1000 * getSoundShare()) / 1000.0 + " of the sound requests sent, "
                + Math.round(100.0 * messages / load.nodes / load.seconds) / 100.0
                + " messages with evidence a second and node";
    }

    private void at(long millis, Runnable task) {
        if (millis != Long.MAX_VALUE) {
            events.add(new Event(millis, order++, task));
        }
    }

    private void arrive() {
        boolean poison =
                random.nextDouble() < load.poisonShare && now >= load.poisonFromMillis && now < load.poisonToMillis;
        List<Long> parts =
                poison ? load.poisonParts.apply(random) : List.of((long) FIRST_PART, 1000L + pickSoundPart());
        Request request = new Request(new RequestFeatures(nextContent++, parts), poison);
        nodes.get(random.nextInt(load.nodes)).receive(request);
        at(now + 1 + (long) (-Math.log(1 - random.nextDouble()) * 1000 / load.requestsPerSecond), this::arrive);
    }

    /** Picks popular parts more often. */
    private int pickSoundPart() {
        return (int) (load.soundParts * Math.pow(random.nextDouble(), 3));
    }

    private void crashOther() {
        if (now > 0) {
            Worker worker = workers.get(random.nextInt(load.workers));
            if (worker.up) {
                worker.crash();
            }
        }
        at(now + 1 + (long) (-Math.log(1 - random.nextDouble()) * 1000 / load.otherCrashesPerSecond), this::crashOther);
    }

    private record Event(long atMillis, long order, Runnable task) {}

    private record Sent(long atMillis, boolean inTouch, boolean sent) {}

    private static final class Request {
        private final RequestFeatures features;
        private final boolean poison;
        private Node node;
        private Worker worker;
        private long startMillis;
        private boolean trial;
        private boolean ended;

        Request(RequestFeatures features, boolean poison) {
            this.features = features;
            this.poison = poison;
        }
    }

    private final class Node {
        private final int index;
        private final List<Request> active = new ArrayList<>();
        private PoisonDetector detector;
        private long disturbedMillis = Long.MIN_VALUE / 2;
        private int nextPeer;

        Node(int index) {
            this.index = index;
            this.detector = createDetector();
        }

        private PoisonDetector createDetector() {
            return new PoisonDetector(feature -> Math.floorMod(feature, load.nodes) == index);
        }

        private boolean isCut() {
            return index == 0 && now >= load.cutNodeFromMillis && now < load.cutNodeToMillis;
        }

        private boolean isInTouch() {
            boolean cutLately =
                    index == 0 && now >= load.cutNodeFromMillis && now < load.cutNodeToMillis + CONTACT_MILLIS;
            return now - disturbedMillis > CONTACT_MILLIS && !cutLately;
        }

        private void restart() {
            detector = createDetector();
            disturbedMillis = now;
            active.forEach(r -> r.ended = true);
            active.forEach(r -> {
                if (r.worker != null) {
                    r.worker.running.remove(r);
                }
            });
            active.clear();
        }

        private void receive(Request request) {
            request.node = this;
            PoisonDecision decision = detector.decide(request.features, now);
            request.trial = decision.kind() == PoisonDecision.Kind.TRIAL;
            boolean sent = decision.maySend();
            (request.poison ? poison : sound).add(new Sent(now, isInTouch(), sent));
            if (sent) {
                active.add(request);
                countSend(request);
                // The prefill does not crash; the decision is made again before the decode.
                at(now + PREFILL_MILLIS, () -> startDecode(request));
            }
        }

        private void countSend(Request request) {
            for (long part : request.features.parts()) {
                List<Long> crashes = crashesByPart.getOrDefault(part, List.of());
                if (load.guilty.contains(part)
                        && now < load.repairedAtMillis
                        && crashes.size() >= CRASHES_OF_RULE
                        && now > crashes.get(CRASHES_OF_RULE - 1) + CONTACT_MILLIS
                        && isInTouch()) {
                    lateByPart.merge(part, 1, Integer::sum);
                }
            }
        }

        private void startDecode(Request request) {
            if (request.ended) {
                return;
            }
            List<Worker> free = workers.stream()
                    .filter(w -> w.up && w.running.size() < load.slots)
                    .toList();
            if (free.isEmpty()
                    || !request.trial && !detector.decide(request.features, now).maySend()) {
                end(request);
                return;
            }
            countSend(request);
            Worker worker = free.get(random.nextInt(free.size()));
            request.worker = worker;
            request.startMillis = now;
            worker.running.add(request);
            boolean crashes = now < load.repairedAtMillis
                    && request.features.parts().stream().anyMatch(load.guilty::contains);
            long duration = 100 + (long) (-Math.log(1 - random.nextDouble()) * load.meanAnswerMillis);
            long incarnation = worker.incarnation;
            if (crashes) {
                at(now + load.crashAfterMillis, () -> {
                    if (!request.ended && worker.incarnation == incarnation) {
                        request.features.parts().stream()
                                .filter(load.guilty::contains)
                                .forEach(p -> crashesByPart
                                        .computeIfAbsent(p, k -> new ArrayList<>())
                                        .add(now));
                        worker.crash();
                    }
                });
                duration = Math.max(duration, load.crashAfterMillis + 1);
            }
            if (duration > PoisonDetector.BEGINNING_MILLIS) {
                at(now + PoisonDetector.BEGINNING_MILLIS, () -> {
                    if (!request.ended && worker.incarnation == incarnation) {
                        detector.recordProgress(request.features, now);
                    }
                });
            }
            at(now + duration, () -> {
                if (!request.ended && worker.incarnation == incarnation) {
                    detector.recordAnswer(request.features, now);
                    end(request);
                }
            });
        }

        private void end(Request request) {
            request.ended = true;
            active.remove(request);
            if (request.worker != null) {
                request.worker.running.remove(request);
            }
            if (request.trial) {
                detector.endTrial(request.features);
            }
        }

        private void handleCrash(List<Request> broken, long crash) {
            List<Long> convicted = new ArrayList<>();
            for (Request request : broken) {
                boolean past = now - request.startMillis > PoisonDetector.BEGINNING_MILLIS;
                convicted.addAll(detector.recordBroken(request.features, crash, now));
                convicted.addAll(detector.recordCrash(request.features, crash, past, now));
                end(request);
            }
            nodes.forEach(this::sendReport);
            sweep(convicted);
        }

        private void sweep(List<Long> convicted) {
            if (convicted.isEmpty()) {
                return;
            }
            for (Request request : List.copyOf(active)) {
                boolean past = request.worker != null && now - request.startMillis > PoisonDetector.BEGINNING_MILLIS;
                if (!past
                        && !request.trial
                        && !detector.decide(request.features, now).maySend()) {
                    end(request);
                }
            }
        }

        private void sendRound() {
            for (int i = 0; i < Math.min(NODES_PER_ROUND, load.nodes - 1); i++) {
                nextPeer = (nextPeer + 1) % load.nodes;
                sendReport(nodes.get(nextPeer));
            }
            at(now + ROUND_MILLIS, this::sendRound);
        }

        private void sendReport(Node peer) {
            List<CrashEvidence> report = detector.getReport(MAX_EVIDENCE, now);
            if (peer == this || report.isEmpty()) {
                return;
            }
            messages++;
            if (isCut() || peer.isCut() || random.nextDouble() < load.lossShare) {
                return;
            }
            at(now + 1 + (long) (random.nextDouble() * load.delayMillis), () -> {
                List<Long> convicted = new ArrayList<>();
                report.forEach(e -> convicted.addAll(peer.detector.merge(e, now)));
                peer.sweep(convicted);
            });
        }
    }

    private final class Worker {
        private final int index;
        private final Set<Request> running = new LinkedHashSet<>();
        private boolean up = true;
        private long incarnation;

        Worker(int index) {
            this.index = index;
        }

        private void crash() {
            lostWorkers++;
            long crash = index * 1_000_000L + incarnation;
            incarnation++;
            up = false;
            Map<Node, List<Request>> byNode = new LinkedHashMap<>();
            running.forEach(
                    r -> byNode.computeIfAbsent(r.node, n -> new ArrayList<>()).add(r));
            running.clear();
            byNode.forEach((node, broken) -> {
                boolean witnessLost = load.killWitness
                        && lostWorkers % 2 == 1
                        && broken.stream().anyMatch(r -> r.poison);
                if (witnessLost) {
                    node.restart();
                } else {
                    at(now + CHECK_MILLIS, () -> node.handleCrash(broken, crash));
                }
            });
            at(now + DOWN_MILLIS, () -> up = true);
        }
    }
}
