package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.node.decision.Decision;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.membership.TestCluster;
import org.magnoliavane.node.membership.TestCluster.Member;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PeerPlacementServiceTest {
    private static final int NODES = 3;
    private static final long POISON = 666;

    private TestCluster cluster;
    private FakeEngineControl engines;
    private List<TestNode> nodes;

    @BeforeMethod
    public void start() throws InterruptedException {
        cluster = new TestCluster();
        engines = new FakeEngineControl();
        nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cluster.addWorker("p" + i, "prefill", "live");
            cluster.addWorker("d" + i, "decode", "live");
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(new TestNode("entry-" + i, 100 + i));
        }
        cluster.awaitNodes(NODES);
        TestCluster.await(() -> nodes.stream()
                .allMatch(node -> node.member.getController().get().servers().size() == 8));
    }

    @AfterMethod
    public void stop() {
        nodes.forEach(TestNode::close);
        cluster.close();
    }

    @Test
    public void allNodesArePlacedByTheSameCoordinator() throws Exception {
        for (TestNode node : nodes) {
            Placement placement = node.place(
                            "r" + node.member.getRun().node() + "-1",
                            node.member.getRun().run())
                    .get();
            assertEquals(placement.prefillWorker().host(), "127.0.0.1");
            assertEquals(node.decisions.get(0).stage(), "place");
            assertTrue(node.decisions
                    .get(0)
                    .considered()
                    .contains(getOwner().member.getRun().node()));
        }
        assertEquals(countPrefillWorkersInUse(), NODES);
    }

    /** Guards against lost requests, and against a new coordinator that reserves the same memory a second time. */
    @Test
    public void aNewCoordinatorReceivesStartedAttemptsAndWaitingRequests() throws Exception {
        TestNode other = getOtherNode();
        Placement before = other.place("started-1", 1).get();
        CompletableFuture<Either<Fault, Placement>> waiting = other.send("waiting-1", 1);
        stopOwner();
        other.service.report(new AttemptProgress("started-1", AttemptPhase.PREFILLED, 0, 0));
        Thread.sleep(150);
        // The second copy of the content waits only if the new coordinator has adopted the first one.
        assertFalse(waiting.isDone());
        other.service.report(new AttemptProgress("started-1", AttemptPhase.COMPLETED, 9, 0));
        Placement after = waiting.get(3, TimeUnit.SECONDS).get();
        assertEquals(after.attempt(), "waiting-1");
        assertEquals(before.attempt(), "started-1");
    }

    /** Guards against refusing most of many simultaneous requests with the same new content. */
    @Test
    public void copiesOfNewContentStartAfterTheFirstTokenOfTheFirstCopy() throws Exception {
        nodes.get(0).place("first-1", 42).get();
        CompletableFuture<Either<Fault, Placement>> copy = nodes.get(1).send("copy-1", 42);
        nodes.get(0).advance("first-1", 2);
        Thread.sleep(150);
        assertFalse(copy.isDone());
        nodes.get(0).service.report(new AttemptProgress("first-1", AttemptPhase.DECODING, 1, 0));
        assertTrue(copy.get(3, TimeUnit.SECONDS).isRight());
    }

    @Test
    public void aRequestWithoutCoordinatorReplyIsRefusedWithARetryTime() throws Exception {
        for (int i = 0; i < 4; i++) {
            cluster.remove("p" + i);
        }
        TestCluster.await(() -> nodes.stream()
                .allMatch(node -> node.member.getController().get().servers().size() == 4));
        Thread.sleep(200);
        Fault fault = nodes.get(0).place("late-1", 300, 5).getLeft();
        assertEquals(fault.kind(), FaultKind.UNAVAILABLE);
        assertTrue(fault.retryAfterMillis().isPresent());
    }

    /** Guards against a poison request that crashes one worker after another. */
    @Test
    public void aPoisonRequestCrashesAtMostTwoWorkersAcrossAllNodes() throws Exception {
        Random random = new Random(7);
        for (int i = 0; i < 6; i++) {
            nodes.get(i % NODES).place("unrelated" + i + "-1", 1000 + i).get();
        }
        int crashes = 0;
        FaultKind last = null;
        for (int i = 0; i < 8 && last == null; i++) {
            TestNode node = nodes.get(random.nextInt(NODES));
            Either<Fault, Placement> answer = node.place("poison" + i + "-1", POISON);
            if (answer.isLeft()) {
                last = answer.getLeft().kind();
            } else {
                crashes++;
                crash(answer.get().prefillWorker().id());
                completeRunning();
            }
        }
        assertEquals(last, FaultKind.POISON);
        assertTrue(crashes <= 2, crashes + " workers crashed");
    }

    /** Guards against copies of a poison request that run in parallel before the first crash. */
    @Test
    public void copiesSentToAllNodesAtOnceCrashAtMostTwoWorkers() throws Exception {
        List<CompletableFuture<Either<Fault, Placement>>> copies = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            copies.add(nodes.get(i % NODES).send("copy" + i + "-1", POISON));
        }
        int crashes = 0;
        while (copies.stream().anyMatch(copy -> !copy.isDone()) || !areAllRefusedOrFailed(copies)) {
            Optional<Placement> running = findRunning(POISON);
            if (running.isPresent()) {
                crashes++;
                crash(running.get().prefillWorker().id());
            }
            assertTrue(crashes <= 2, crashes + " workers crashed");
            Thread.sleep(20);
        }
        assertEquals(crashes, 2);
    }

    /**
     * Covers crashes in every phase, also those where the caller disconnects at the same moment and hides the failure.
     */
    @Test
    public void poisonRequestsCrashAtMostTwoWorkersEachInAnyPhase() throws Exception {
        for (int round = 0; round < 12; round++) {
            Random random = new Random(round * 7919L);
            for (int i = 0; i < 4; i++) {
                TestNode node = nodes.get(random.nextInt(NODES));
                String id = "unrelated" + round + "/" + i + "-1";
                node.place(id, 5000 + round * 10 + i).get();
                node.advance(id, random.nextInt(3));
            }
            assertTrue(countCrashes(random, round) <= 2, "round " + round);
            completeRunning();
            engines.down.clear();
            Thread.sleep(300);
        }
    }

    private int countCrashes(Random random, int round) throws Exception {
        for (int crashes = 0; ; crashes++) {
            TestNode node = nodes.get(random.nextInt(NODES));
            String id = "poison" + round + "/" + crashes + "-1";
            Either<Fault, Placement> answer = node.place(id, 6_660_000L + round);
            if (answer.isLeft()) {
                assertEquals(answer.getLeft().kind(), FaultKind.POISON);
                return crashes;
            }
            boolean inDecode = random.nextBoolean();
            node.advance(id, inDecode ? 2 : 0);
            engines.down.add(
                    (inDecode ? answer.get().decodeWorker() : answer.get().prefillWorker()).id());
            if (random.nextInt(3) == 0) {
                node.running.remove(id);
                node.service.withdraw(id);
            } else {
                node.finish(id, inDecode ? AttemptPhase.DECODE_FAILED : AttemptPhase.PREFILL_FAILED);
            }
            completeRunning();
        }
    }

    @Test
    public void unrelatedRequestsOnACrashedWorkerArePlacedAgainAndCleared() throws Exception {
        TestNode node = nodes.get(0);
        Placement first = node.place("a-1", 1).get();
        crash(first.prefillWorker().id());
        Placement again = node.place("a-2", 1).get();
        node.finish("a-2", AttemptPhase.COMPLETED);
        assertFalse(again.prefillWorker().id().equals(first.prefillWorker().id()));
        assertTrue(node.place("b-1", 1).isRight());
        assertTrue(node.place("c-1", 1).isRight(), "copies of a cleared content may run in parallel");
    }

    /**
     * Guards against confirming a suspected request as poison because its worker had already crashed for another
     * reason.
     */
    @Test
    public void aWorkerThatWasDownBeforeAnIsolatedStartConfirmsNoPoison() throws Exception {
        TestNode node = nodes.get(0);
        crash(node.place("a-1", 1).get().prefillWorker().id());
        engines.down.addAll(List.of("p1", "p2", "d0", "d1"));
        Placement again = node.place("a-2", 1).get();
        assertFalse(engines.down.contains(again.prefillWorker().id()));
        assertFalse(engines.down.contains(again.decodeWorker().id()));
        node.finish("a-2", AttemptPhase.COMPLETED);
        assertTrue(node.place("a-3", 1).isRight());
    }

    /** Guards against losing a poison verdict together with the coordinator that made it. */
    @Test
    public void aConfirmedPoisonRequestSurvivesTheLossOfTheCoordinator() throws Exception {
        TestNode other = getOtherNode();
        crash(other.place("x-1", POISON).get().prefillWorker().id());
        crash(other.place("x-2", POISON).get().prefillWorker().id());
        assertEquals(other.place("x-3", POISON).getLeft().kind(), FaultKind.POISON);
        stopOwner();
        assertEquals(other.place("x-4", POISON).getLeft().kind(), FaultKind.POISON);
    }

    /** Guards against a new coordinator that does not know that a suspected request runs isolated. */
    @Test
    public void aSuspectedRequestStaysIsolatedAfterTheLossOfItsCoordinator() throws Exception {
        TestNode other = getOtherNode();
        crash(other.place("x-1", POISON).get().prefillWorker().id());
        Placement isolated = other.place("x-2", POISON).get();
        stopOwner();
        Thread.sleep(200);
        crash(isolated.prefillWorker().id());
        assertEquals(other.place("x-3", POISON).getLeft().kind(), FaultKind.POISON);
    }

    /** Guards against a third lost worker when the coordinator fails with the crash of the isolated request. */
    @Test
    public void aCrashOfAnIsolatedRequestOutlivesACoordinatorThatFailsBeforeItIsReported() throws Exception {
        TestNode other = getOtherNode();
        crash(other.place("x-1", POISON).get().prefillWorker().id());
        Placement isolated = other.place("x-2", POISON).get();
        engines.down.add(isolated.prefillWorker().id());
        stopOwner();
        other.finish("x-2", AttemptPhase.PREFILL_FAILED);
        assertEquals(other.place("x-3", POISON).getLeft().kind(), FaultKind.POISON);
    }

    /** Guards against a third lost worker when a copy is sent to another node after that coordinator failed. */
    @Test
    public void aCrashOfAnIsolatedRequestIsKnownToAllNodesWithoutItsCoordinator() throws Exception {
        TestNode other = getOtherNode();
        crash(other.place("x-1", POISON).get().prefillWorker().id());
        Placement isolated = other.place("x-2", POISON).get();
        engines.down.add(isolated.prefillWorker().id());
        stopOwner(() -> other.finish("x-2", AttemptPhase.PREFILL_FAILED));
        TestNode third = nodes.stream().filter(n -> n != other).findFirst().orElseThrow();
        assertEquals(third.place("y-1", POISON).getLeft().kind(), FaultKind.POISON);
    }

    /** Guards against engine memory that is never freed, and against cancelling a stream that has just started. */
    @Test
    public void onlyOrphanedAttemptsAreCancelled() throws Exception {
        Placement placement = nodes.get(0).place("live-1", 1).get();
        String run = nodes.get(0).member.getRun().toString();
        nodes.get(0).place("ended-1", 2).get();
        nodes.get(0).finish("ended-1", AttemptPhase.COMPLETED);
        engines.attempts.put(
                placement.decodeWorker().id(),
                List.of(
                        new ReportedAttempt("live-1", run, "decode", 1, 3, true),
                        new ReportedAttempt(
                                "resumed-1", nodes.get(1).member.getRun().toString(), "decode", 1, 3, true),
                        new ReportedAttempt("ended-1", run, "decode", 1, 3, true),
                        new ReportedAttempt("prefilling-1", null, "prefill", 1, 0, true),
                        new ReportedAttempt("detached-1", run, "decode", 1, 3, false),
                        new ReportedAttempt("dead-1", "entry-1.77", "decode", 1, 3, false)));
        Thread.sleep(250);
        assertTrue(engines.cancelled.isEmpty());
        TestCluster.await(() -> engines.cancelled.size() == 3);
        Thread.sleep(300);
        assertEquals(engines.cancelled, Set.of("detached-1", "dead-1", "ended-1"));
    }

    private boolean areAllRefusedOrFailed(List<CompletableFuture<Either<Fault, Placement>>> copies) {
        return copies.stream().allMatch(copy -> copy.isDone())
                && findRunning(POISON).isEmpty();
    }

    private TestNode getOwner() {
        String owner = nodes.get(0)
                .member
                .getController()
                .get()
                .getOwner("pool/" + TestCluster.SERVICE)
                .run()
                .node();
        return nodes.stream()
                .filter(n -> n.member.getRun().node().equals(owner))
                .findFirst()
                .orElseThrow();
    }

    private TestNode getOtherNode() {
        TestNode owner = getOwner();
        return nodes.stream().filter(n -> n != owner).findFirst().orElseThrow();
    }

    private void stopOwner() throws InterruptedException {
        stopOwner(() -> {});
    }

    /** Stops the owner, and does something that only the owner is told of, after it has stopped. */
    private void stopOwner(Runnable untold) throws InterruptedException {
        TestNode owner = getOwner();
        owner.close();
        untold.run();
        cluster.stop(owner.member);
        nodes.remove(owner);
        cluster.awaitNodes(NODES - 1);
    }

    private Optional<Placement> findRunning(long content) {
        for (TestNode node : nodes) {
            for (Map.Entry<String, Long> entry : node.contents.entrySet()) {
                Placement placement = node.running.get(entry.getKey());
                if (entry.getValue() == content && placement != null) {
                    return Optional.of(placement);
                }
            }
        }
        return Optional.empty();
    }

    private long countPrefillWorkersInUse() {
        return nodes.stream()
                .flatMap(n -> n.running.values().stream())
                .map(p -> p.prefillWorker().id())
                .distinct()
                .count();
    }

    private void crash(String worker) {
        engines.down.add(worker);
        for (TestNode node : nodes) {
            for (Placement placement : List.copyOf(node.running.values())) {
                if (placement.prefillWorker().id().equals(worker)) {
                    node.finish(placement.attempt(), AttemptPhase.PREFILL_FAILED);
                }
            }
        }
    }

    private void completeRunning() {
        for (TestNode node : nodes) {
            List.copyOf(node.running.keySet()).forEach(id -> node.finish(id, AttemptPhase.COMPLETED));
        }
    }

    /** Runs the placement service and the coordinator of one node. */
    private final class TestNode implements DecisionLog, AutoCloseable {
        final List<Decision> decisions = new CopyOnWriteArrayList<>();
        final Map<String, Placement> running = new ConcurrentHashMap<>();
        final Map<String, Long> contents = new ConcurrentHashMap<>();
        final Member member;
        PlacementCoordinator coordinator;
        PeerPlacementService service;

        TestNode(String name, long run) {
            member = cluster.start(name, run, m -> {
                coordinator = PlacementCoordinator.start(
                        () -> m.getController().get(),
                        cluster::getConfiguration,
                        s -> new FifoScheduler(),
                        m.getPoison(),
                        engines);
                service = PeerPlacementService.start(
                        m.getRun(), () -> m.getController().get(), m.getNetwork(), coordinator, m.getPoison(), this);
            });
        }

        Either<Fault, Placement> place(String attempt, long content) throws Exception {
            return place(attempt, 5000, content);
        }

        Either<Fault, Placement> place(String attempt, long maxWait, long content) throws Exception {
            return send(attempt, maxWait, content).get(8, TimeUnit.SECONDS);
        }

        CompletableFuture<Either<Fault, Placement>> send(String attempt, long content) {
            return send(attempt, 5000, content);
        }

        CompletableFuture<Either<Fault, Placement>> send(String attempt, long maxWait, long content) {
            contents.put(attempt, content);
            PlacementRequest request = new PlacementRequest(
                    attempt,
                    TestCluster.SERVICE,
                    "m",
                    "p",
                    "a",
                    "c",
                    1,
                    10,
                    10,
                    10,
                    List.of(),
                    content,
                    5000,
                    50,
                    maxWait,
                    false);
            return service.place(request, reason -> {})
                    .thenApply(answer -> {
                        answer.forEach(placement -> running.put(attempt, placement));
                        return answer;
                    })
                    .toCompletableFuture();
        }

        /** Reports the first phases after the start: prefilled, then imported. */
        void advance(String attempt, int count) {
            for (AttemptPhase phase :
                    List.of(AttemptPhase.PREFILLED, AttemptPhase.IMPORTED).subList(0, count)) {
                service.report(new AttemptProgress(attempt, phase, 0, 0));
            }
        }

        void finish(String attempt, AttemptPhase phase) {
            if (running.remove(attempt) != null) {
                service.report(new AttemptProgress(attempt, phase, 1, 0));
            }
        }

        @Override
        public void record(Decision decision) {
            decisions.add(decision);
        }

        @Override
        public List<Decision> find(String request) {
            return decisions;
        }

        @Override
        public void close() {
            service.close();
            coordinator.close();
        }
    }
}
