package org.magnoliavane.node.keyed;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.node.log.LogPage;
import org.magnoliavane.node.log.LogRecord;
import org.magnoliavane.node.log.LogService;
import org.magnoliavane.node.log.LogUnavailableException;
import org.magnoliavane.node.membership.TestCluster;
import org.magnoliavane.node.membership.TestCluster.Member;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Executes requests with idempotency keys on two nodes that are connected over loopback. */
public class PeerKeyedRequestServiceTest {
    private final MemoryLog log = new MemoryLog();
    private final AtomicInteger executions = new AtomicInteger();
    private final List<PeerKeyedRequestService> services = new ArrayList<>();
    private TestCluster cluster;
    private List<Member> members;

    @BeforeMethod
    public void start() throws InterruptedException {
        cluster = new TestCluster();
        services.clear();
        executions.set(0);
        log.unavailable = false;
        members = new ArrayList<>(List.of(startNode("entry-1", 11), startNode("entry-2", 22)));
        cluster.awaitNodes(2);
    }

    @AfterMethod
    public void stop() {
        services.forEach(PeerKeyedRequestService::close);
        cluster.close();
    }

    @Test
    public void aRetryAtAnotherNodeGetsTheResponseOfTheFirstExecution() throws Exception {
        for (String key : List.of(services.get(0).issueRunToken() + "/1", "without-token")) {
            executions.set(0);
            PlainResponse first = execute(0, key, "a").get();
            PlainResponse second = execute(1, key, "a").get();
            assertEquals(second.body(), first.body());
            assertEquals(execute(1, key, "b").getLeft().kind(), FaultKind.KEY_CONFLICT);
            assertEquals(executions.get(), 1);
        }
    }

    /** Guards against executing a booking a second time after the node run that owned its key has ended. */
    @Test
    public void aKeyOwnedByAnEndedNodeRunIsNeverExecutedAgain() throws Exception {
        String key = services.get(0).issueRunToken() + "/1";
        services.get(0).close();
        cluster.stop(members.get(0));
        members.set(0, startNode("entry-1", 12));
        TestCluster.await(() -> members.get(1)
                .getNetwork()
                .findRun("entry-1")
                .filter(r -> r.run() == 12)
                .isPresent());
        for (int node : new int[] {1, 2}) {
            Fault fault = execute(node, key, "a").getLeft();
            assertEquals(fault.kind(), FaultKind.OWNER_UNREACHABLE);
            assertEquals(fault.ran(), ExecutionStatus.UNKNOWN);
            assertTrue(fault.retryAfterMillis().isEmpty());
        }
        assertEquals(executions.get(), 0);
    }

    /** Guards against a log outage that also fails the keys which do not need the log service. */
    @Test
    public void duringALogOutageOnlyKeysWithARunTokenAreExecuted() throws Exception {
        TestCluster.await(() -> execute(0, "warm-up", "a").isRight());
        Thread.sleep(100);
        log.unavailable = true;
        assertTrue(execute(1, services.get(0).issueRunToken() + "/1", "a").isRight());
        Fault fault = execute(0, "outage", "a").getLeft();
        assertEquals(fault.kind(), FaultKind.LOG_UNAVAILABLE);
        assertEquals(fault.ran(), ExecutionStatus.NO);
        assertEquals(execute(1, "outage", "a").getLeft().ran(), ExecutionStatus.UNKNOWN);
        assertEquals(executions.get(), 2);
    }

    private Member startNode(String name, long run) {
        return cluster.start(
                name,
                run,
                m -> services.add(PeerKeyedRequestService.start(
                        m.getRun(), m.getNetwork(), m.getDirectory(), this::dispatch, log)));
    }

    private CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest request) {
        byte[] body = ("run " + executions.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.completedFuture(Either.right(new PlainResponse(201, Map.of("x", "y"), body)));
    }

    private Either<Fault, PlainResponse> execute(int node, String key, String content) {
        PlainRequest request = new PlainRequest(
                "r",
                "caller",
                "bookings",
                "POST",
                "/bookings",
                Map.of("content-type", "text/plain"),
                content.getBytes(StandardCharsets.UTF_8),
                Optional.of(key),
                false,
                2000);
        return services.get(node)
                .execute(request)
                .toCompletableFuture()
                .orTimeout(5, TimeUnit.SECONDS)
                .join();
    }

    /** Keeps one stream in memory; reads and appends fail while it is unavailable. */
    private static final class MemoryLog implements LogService {
        private final List<LogRecord> records = new ArrayList<>();
        private volatile boolean unavailable;

        @Override
        public synchronized CompletionStage<Long> append(String stream, byte[] data) {
            if (unavailable) {
                return fail();
            }
            records.add(new LogRecord(records.size(), 0, data));
            return CompletableFuture.completedFuture(records.size() - 1L);
        }

        @Override
        public synchronized CompletionStage<LogPage> read(String stream, long from, int limit, long waitMillis) {
            if (unavailable) {
                return fail();
            }
            int first = (int) Math.min(from, records.size());
            List<LogRecord> rest = List.copyOf(records.subList(first, records.size()));
            return CompletableFuture.completedFuture(new LogPage(0, records.size(), rest));
        }

        private static <T> CompletionStage<T> fail() {
            return CompletableFuture.failedFuture(new LogUnavailableException("outage", false, null));
        }
    }
}
