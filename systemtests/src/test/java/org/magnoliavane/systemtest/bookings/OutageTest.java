package org.magnoliavane.systemtest.bookings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.systemtest.DeploymentSize;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against callers that wait or are misled while a part of the deployment is down. */
public class OutageTest {
    private static final System.Logger LOG = System.getLogger(OutageTest.class.getName());
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final long LOG_OUTAGE_MILLIS = 8000;
    private static final int REPEATED_KEYS = 5;
    private static final long AT_ONCE_MILLIS = 1500;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final long PAYMENT_MILLIS = 10_000;

    private LocalDeployment deployment;
    private BookingServices services;
    private int nextKey;

    @BeforeClass
    public void startDeployment() throws Exception {
        Launcher launcher = Launcher.of(ROOT, Path.of("target/system/outage"));
        deployment = LocalDeployment.start(DeploymentSize.wellenbund().withProcesses(3, 1, 1, 2), launcher);
        services = BookingServices.replaceProcesses(deployment);
    }

    @AfterClass(alwaysRun = true)
    public void stopDeployment() {
        if (services != null) {
            services.close();
        }
        if (deployment != null) {
            deployment.close();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void endFailures() {
        deployment.getEndpoint("log").control(Map.of("outage", false));
        deployment.getEndpoint("vmlist").control(Map.of("outage", false, "lag_millis", 200));
    }

    /** Comes first: a key without token is surely not run only while no run has been lost within a minute. */
    @Test(priority = 1)
    public void inALogOutageBookingsWithRunTokensGoOnAndOthersAreRefusedAtOnce() throws Exception {
        deployment.getEndpoint("log").control(Map.of("outage", true));
        List<String> refused = new ArrayList<>();
        long slowest = 0;
        int booked = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOG_OUTAGE_MILLIS);
        while (System.nanoTime() < end) {
            String owner = nodeOf(booked);
            Answer answer = book(nodeOf(booked + booked / 3), newKey(owner));
            assertEquals(answer.status(), 201, answer.toString());
            booked++;
            if (booked % 5 == 0) {
                String key = "outage-" + booked;
                Answer refusal = book(nodeOf(booked), key);
                refusal.assertRefused("no", true, AT_ONCE_MILLIS);
                slowest = Math.max(slowest, refusal.millis());
                refused.add(key);
            }
            Pauses.sleep(20);
        }
        deployment.getEndpoint("log").control(Map.of("outage", false));
        Pauses.sleep(1500);
        assertFalse(refused.isEmpty(), "nothing was refused, so that this test shows nothing");
        for (String key : refused) {
            assertFalse(services.getRuns().containsKey(key), key + " ran after it was refused");
        }
        for (String key : refused.subList(0, Math.min(REPEATED_KEYS, refused.size()))) {
            // "Not run" was the final answer to this key.
            assertTrue(book("entry-1", key).status() >= 400, key);
            assertFalse(services.getRuns().containsKey(key), key + " ran after it was refused");
        }
        assertEquals(book("entry-2", "after-outage").status(), 201);
        LOG.log(
                System.Logger.Level.INFO,
                "log outage of {0} ms: {1} of {1} bookings with token answered 201, {2} refused, the slowest in {3} ms",
                LOG_OUTAGE_MILLIS,
                booked,
                refused.size(),
                slowest);
    }

    @Test(priority = 2)
    public void anOverloadedPoolRefusesAtOnce() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            String node = nodeOf(i);
            answers.add(CompletableFuture.supplyAsync(() -> chat(node), callers));
        }
        int complete = 0;
        int refused = 0;
        long slowest = 0;
        for (CompletableFuture<Answer> pending : answers) {
            Answer answer = pending.get(DEADLINE_MILLIS * 2, TimeUnit.MILLISECONDS);
            if (answer.status() == 200) {
                complete++;
                continue;
            }
            answer.assertRefused("no", true, DEADLINE_MILLIS / 5);
            slowest = Math.max(slowest, answer.millis());
            refused++;
        }
        callers.shutdown();
        LOG.log(
                System.Logger.Level.INFO,
                "burst of 120 chats: {0} complete, {1} refused, the slowest refusal in {2} ms",
                complete,
                refused,
                slowest);
        assertTrue(complete > 0, "nothing was answered");
        assertTrue(refused > 0, "nothing was refused, so that this test shows nothing");
    }

    @Test(priority = 3)
    public void aDeadPlainServiceIsReportedAtOnce() throws Exception {
        services.stopAll();
        String key = newKey("entry-2");
        try {
            book("entry-1", key).assertRefused("no", true, AT_ONCE_MILLIS);
            book("entry-2", newKey("entry-2")).assertRefused("no", true, AT_ONCE_MILLIS);
            book("entry-3", "dead-service").assertRefused("no", true, AT_ONCE_MILLIS);
            lookUp("entry-1").assertRefused("no", true, AT_ONCE_MILLIS);
        } finally {
            for (String id : services.getIds()) {
                services.restart(id);
            }
        }
        assertEquals(book("entry-1", newKey("entry-1")).status(), 201);
        assertFalse(services.getRuns().containsKey(key));
    }

    @Test(priority = 4)
    public void aKeyOfAnUnknownRunIsAnsweredAtOnce() throws Exception {
        long now = System.currentTimeMillis() / 1000;
        for (String run : List.of("entry-2.1234", "entry-1.1234", "no-such-node.1234")) {
            String key = run + "." + now + "/k";
            // A node that was never listed may be new, because the VM list lags; its caller may come back.
            boolean comeBack = run.startsWith("no-such-node");
            book("entry-1", key).assertRefused("unknown", comeBack, AT_ONCE_MILLIS);
            book("entry-3", key).assertRefused("unknown", comeBack, AT_ONCE_MILLIS);
            assertFalse(services.getRuns().containsKey(key), key);
        }
    }

    @Test(priority = 5)
    public void aKeyOfAPausedNodeIsAnsweredBeforeItsDeadlineAndRunsOnce() throws Exception {
        String key = newKey("entry-3");
        deployment.getProcess("entry-3").pause();
        Answer answer;
        try {
            answer = pay("entry-1", key);
        } finally {
            deployment.getProcess("entry-3").resume();
        }
        LOG.log(System.Logger.Level.INFO, "key of a paused node answered in {0} ms", answer.millis());
        answer.assertRefused("unknown", true, PAYMENT_MILLIS / 2);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        Answer last = pay("entry-1", key);
        while (last.status() != 201 && System.nanoTime() < end) {
            Pauses.sleep(200);
            last = pay("entry-1", key);
        }
        assertEquals(last.status(), 201, last.toString());
        assertEquals(services.getRuns().get(key), (Integer) 1);
    }

    @Test(priority = 6)
    public void withoutTheVmListNodesServeOnAndKeysOfAnEndedRunNeverRunAgain() throws Exception {
        deployment.getEndpoint("vmlist").control(Map.of("outage", true));
        assertOldKeysStayUnknown("entry-3", "entry-1", "entry-2");
        // The new run has read no VM list yet and knows no backend server.
        book("entry-3", newKey("entry-3")).assertRefused("no", true, AT_ONCE_MILLIS);
        deployment.getEndpoint("vmlist").control(Map.of("outage", false));
        awaitServing("entry-3");
    }

    @Test(priority = 7)
    public void withALateVmListNodesServeOnAndKeysOfAnEndedRunNeverRunAgain() throws Exception {
        deployment.getEndpoint("vmlist").control(Map.of("lag_millis", 4000));
        assertOldKeysStayUnknown("entry-2", "entry-3", "entry-1");
        awaitServing("entry-2");
    }

    /** Restarts a node under its id and sends keys of its last run to it and to another node. */
    private void assertOldKeysStayUnknown(String restarted, String other, String third) throws Exception {
        String ran = newKey(restarted);
        String unsent = newKey(restarted);
        assertEquals(book(other, ran).status(), 201);
        deployment.killNode(restarted);
        for (int i = 0; i < 10; i++) {
            assertServes(other);
            assertServes(third);
            Answer early = book(other, ran);
            assertEquals(early.ran(), "unknown", early.toString());
        }
        deployment.restartNode(restarted);
        for (String node : List.of(restarted, other, third)) {
            for (String key : List.of(ran, unsent)) {
                Answer answer = book(node, key);
                assertEquals(answer.ran(), "unknown", node + " " + answer);
            }
        }
        assertServes(other);
        assertServes(third);
        assertEquals(services.getRuns().get(ran), (Integer) 1);
        assertFalse(services.getRuns().containsKey(unsent), "a key of an ended run ran");
    }

    private void assertServes(String node) throws IOException {
        Answer booking = book(node, newKey(node));
        assertEquals(booking.status(), 201, node + " " + booking);
        Answer lookup = lookUp(node);
        assertEquals(lookup.status(), 200, node + " " + lookup);
    }

    private void awaitServing(String node) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (book(node, newKey(node)).status() != 201) {
            assertTrue(System.nanoTime() < end, node + " does not serve");
            Pauses.sleep(100);
        }
    }

    private String nodeOf(int index) {
        return "entry-" + (index % 3 + 1);
    }

    /** Makes a key with the run token that a node gives for itself. */
    private String newKey(String node) throws IOException {
        for (JsonNode address :
                deployment.getEndpoint(node).get("/v1/addresses").path("addresses")) {
            if (address.path("node").asText().equals(node)) {
                return address.path("run_token").asText() + "/key-" + nextKey++;
            }
        }
        throw new IllegalStateException(node + " does not name itself");
    }

    private Answer book(String node, String key) throws IOException {
        return post(node, "/bookings", key);
    }

    private Answer pay(String node, String key) throws IOException {
        return post(node, "/payments", key);
    }

    private Answer post(String node, String path, String key) throws IOException {
        HttpRequest request = withBody(identified(node, "POST", path), "{\"guests\":2}");
        return Answer.to(deployment.getEndpoint(node), request.withHeader("Idempotency-Key", key));
    }

    private Answer lookUp(String node) throws IOException {
        return Answer.to(deployment.getEndpoint(node), identified(node, "GET", "/schedule"));
    }

    private Answer chat(String node) {
        String body = "{\"model\":\"tide-briefing\",\"service_tier\":\"urgent\",\"max_tokens\":200,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"" + "tide ".repeat(4000) + "\"}]}";
        HttpRequest request = withBody(identified(node, "POST", "/v1/chat/completions"), body)
                .withHeader("Magnoliavane-Deadline-Millis", Long.toString(DEADLINE_MILLIS));
        try {
            return Answer.to(deployment.getEndpoint(node), request);
        } catch (IOException e) {
            throw new IllegalStateException(node + " did not answer", e);
        }
    }

    private HttpRequest identified(String node, String method, String path) {
        Endpoint endpoint = deployment.getEndpoint(node);
        return endpoint.request(method, path)
                .withHeader("Authorization", "Bearer " + deployment.getSize().bearerKey());
    }

    private static HttpRequest withBody(HttpRequest request, String body) {
        return request.withBody("application/json", body.getBytes(StandardCharsets.UTF_8));
    }
}
