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
import org.magnoliavane.systemtest.DeploymentSpec;
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

/** Tests that callers get a prompt and correct response while a part of the deployment is down. */
public class OutageTest {
    private static final System.Logger LOG = System.getLogger(OutageTest.class.getName());
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final long LOG_OUTAGE_MILLIS = 8000;
    private static final int REPEATED_KEYS = 5;
    private static final long IMMEDIATE_RESPONSE_MILLIS = 1500;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final long PAYMENT_TIMEOUT_MILLIS = 10_000;

    private LocalDeployment deployment;
    private BookingServices services;
    private int nextKey;

    @BeforeClass
    public void startDeployment() throws Exception {
        Launcher launcher = Launcher.of(ROOT, Path.of("target/system/outage"));
        deployment = LocalDeployment.start(DeploymentSpec.wellenbund().withProcesses(3, 1, 1, 2), launcher);
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
    public void clearFaults() {
        deployment.getEndpoint("log").setFaults(Map.of("outage", false));
        deployment.getEndpoint("vmlist").setFaults(Map.of("outage", false, "lag_millis", 200));
    }

    /**
     * Runs first: a key without a run token is certain not to have run only if no node run ended within the last
     * minute.
     */
    @Test(priority = 1)
    public void duringALogOutageBookingsWithRunTokensContinueAndOthersAreRejectedAtOnce() throws Exception {
        deployment.getEndpoint("log").setFaults(Map.of("outage", true));
        List<String> rejected = new ArrayList<>();
        long slowest = 0;
        int booked = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOG_OUTAGE_MILLIS);
        while (System.nanoTime() < end) {
            String owner = getNode(booked);
            TimedResponse response = sendBooking(getNode(booked + booked / 3), newKey(owner));
            assertEquals(response.getStatus(), 201, response.toString());
            booked++;
            if (booked % 5 == 0) {
                String key = "outage-" + booked;
                TimedResponse rejection = sendBooking(getNode(booked), key);
                rejection.assertRejected("no", true, IMMEDIATE_RESPONSE_MILLIS);
                slowest = Math.max(slowest, rejection.millis());
                rejected.add(key);
            }
            Sleeps.sleep(20);
        }
        deployment.getEndpoint("log").setFaults(Map.of("outage", false));
        Sleeps.sleep(1500);
        assertFalse(rejected.isEmpty(), "nothing was rejected, so that this test checks nothing");
        for (String key : rejected) {
            assertFalse(services.getRuns().containsKey(key), key + " ran after it was rejected");
        }
        for (String key : rejected.subList(0, Math.min(REPEATED_KEYS, rejected.size()))) {
            // The response that the key did not run was final.
            assertTrue(sendBooking("entry-1", key).getStatus() >= 400, key);
            assertFalse(services.getRuns().containsKey(key), key + " ran after it was rejected");
        }
        assertEquals(sendBooking("entry-2", "after-outage").getStatus(), 201);
        LOG.log(
                System.Logger.Level.INFO,
                "log outage of {0} ms: {1} of {1} bookings with token got 201, {2} rejected, the slowest in {3} ms",
                LOG_OUTAGE_MILLIS,
                booked,
                rejected.size(),
                slowest);
    }

    @Test(priority = 2)
    public void anOverloadedPoolRejectsAtOnce() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<CompletableFuture<TimedResponse>> responses = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            String node = getNode(i);
            responses.add(CompletableFuture.supplyAsync(() -> sendChat(node), callers));
        }
        int complete = 0;
        int rejected = 0;
        long slowest = 0;
        for (CompletableFuture<TimedResponse> pending : responses) {
            TimedResponse response = pending.get(DEADLINE_MILLIS * 2, TimeUnit.MILLISECONDS);
            if (response.getStatus() == 200) {
                complete++;
                continue;
            }
            response.assertRejected("no", true, DEADLINE_MILLIS / 5);
            slowest = Math.max(slowest, response.millis());
            rejected++;
        }
        callers.shutdown();
        LOG.log(
                System.Logger.Level.INFO,
                "burst of 120 chats: {0} complete, {1} rejected, the slowest rejection in {2} ms",
                complete,
                rejected,
                slowest);
        assertTrue(complete > 0, "nothing was answered");
        assertTrue(rejected > 0, "nothing was rejected, so that this test checks nothing");
    }

    @Test(priority = 3)
    public void aPlainServiceThatIsDownIsReportedAtOnce() throws Exception {
        services.stopAll();
        String key = newKey("entry-2");
        try {
            sendBooking("entry-1", key).assertRejected("no", true, IMMEDIATE_RESPONSE_MILLIS);
            sendBooking("entry-2", newKey("entry-2")).assertRejected("no", true, IMMEDIATE_RESPONSE_MILLIS);
            sendBooking("entry-3", "dead-service").assertRejected("no", true, IMMEDIATE_RESPONSE_MILLIS);
            sendLookup("entry-1").assertRejected("no", true, IMMEDIATE_RESPONSE_MILLIS);
        } finally {
            for (String id : services.getIds()) {
                services.restart(id);
            }
        }
        assertEquals(sendBooking("entry-1", newKey("entry-1")).getStatus(), 201);
        assertFalse(services.getRuns().containsKey(key));
    }

    @Test(priority = 4)
    public void aKeyOfAnUnknownRunIsAnsweredAtOnce() throws Exception {
        long now = System.currentTimeMillis() / 1000;
        for (String run : List.of("entry-2.1234", "entry-1.1234", "no-such-node.1234")) {
            String key = run + "." + now + "/k";
            // A node that was never listed may be new, because the VM list is delayed, so the caller may retry.
            boolean mayRetry = run.startsWith("no-such-node");
            sendBooking("entry-1", key).assertRejected("unknown", mayRetry, IMMEDIATE_RESPONSE_MILLIS);
            sendBooking("entry-3", key).assertRejected("unknown", mayRetry, IMMEDIATE_RESPONSE_MILLIS);
            assertFalse(services.getRuns().containsKey(key), key);
        }
    }

    @Test(priority = 5)
    public void aKeyOfAPausedNodeIsAnsweredBeforeItsDeadlineAndRunsOnce() throws Exception {
        String key = newKey("entry-3");
        deployment.getProcess("entry-3").pause();
        TimedResponse response;
        try {
            response = sendPayment("entry-1", key);
        } finally {
            deployment.getProcess("entry-3").resume();
        }
        LOG.log(System.Logger.Level.INFO, "key of a paused node answered in {0} ms", response.millis());
        response.assertRejected("unknown", true, PAYMENT_TIMEOUT_MILLIS / 2);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        TimedResponse last = sendPayment("entry-1", key);
        while (last.getStatus() != 201 && System.nanoTime() < end) {
            Sleeps.sleep(200);
            last = sendPayment("entry-1", key);
        }
        assertEquals(last.getStatus(), 201, last.toString());
        assertEquals(services.getRuns().get(key), (Integer) 1);
    }

    @Test(priority = 6)
    public void withoutTheVmListNodesKeepServingAndKeysOfAnEndedRunNeverRunAgain() throws Exception {
        deployment.getEndpoint("vmlist").setFaults(Map.of("outage", true));
        assertOldKeysStayUnknown("entry-3", "entry-1", "entry-2");
        // The new run has not read the VM list yet and knows no backend server.
        sendBooking("entry-3", newKey("entry-3")).assertRejected("no", true, IMMEDIATE_RESPONSE_MILLIS);
        deployment.getEndpoint("vmlist").setFaults(Map.of("outage", false));
        awaitServing("entry-3");
    }

    @Test(priority = 7)
    public void withADelayedVmListNodesKeepServingAndKeysOfAnEndedRunNeverRunAgain() throws Exception {
        deployment.getEndpoint("vmlist").setFaults(Map.of("lag_millis", 4000));
        assertOldKeysStayUnknown("entry-2", "entry-3", "entry-1");
        awaitServing("entry-2");
    }

    /** Restarts a node under its id and sends keys of its previous run to it and to the other nodes. */
    private void assertOldKeysStayUnknown(String restarted, String other, String third) throws Exception {
        String ran = newKey(restarted);
        String unsent = newKey(restarted);
        assertEquals(sendBooking(other, ran).getStatus(), 201);
        deployment.killNode(restarted);
        for (int i = 0; i < 10; i++) {
            assertServes(other);
            assertServes(third);
            TimedResponse early = sendBooking(other, ran);
            assertEquals(early.getRan(), "unknown", early.toString());
        }
        deployment.restartNode(restarted);
        for (String node : List.of(restarted, other, third)) {
            for (String key : List.of(ran, unsent)) {
                TimedResponse response = sendBooking(node, key);
                assertEquals(response.getRan(), "unknown", node + " " + response);
            }
        }
        assertServes(other);
        assertServes(third);
        assertEquals(services.getRuns().get(ran), (Integer) 1);
        assertFalse(services.getRuns().containsKey(unsent), "a key of an ended run ran");
    }

    private void assertServes(String node) throws IOException {
        TimedResponse booking = sendBooking(node, newKey(node));
        assertEquals(booking.getStatus(), 201, node + " " + booking);
        TimedResponse lookup = sendLookup(node);
        assertEquals(lookup.getStatus(), 200, node + " " + lookup);
    }

    private void awaitServing(String node) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (sendBooking(node, newKey(node)).getStatus() != 201) {
            assertTrue(System.nanoTime() < end, node + " does not serve");
            Sleeps.sleep(100);
        }
    }

    private String getNode(int index) {
        return "entry-" + (index % 3 + 1);
    }

    /** Creates a key with the run token that a node lists for itself. */
    private String newKey(String node) throws IOException {
        for (JsonNode address :
                deployment.getEndpoint(node).getJson("/v1/addresses").path("addresses")) {
            if (address.path("node").asText().equals(node)) {
                return address.path("run_token").asText() + "/key-" + nextKey++;
            }
        }
        throw new IllegalStateException(node + " does not list itself");
    }

    private TimedResponse sendBooking(String node, String key) throws IOException {
        return post(node, "/bookings", key);
    }

    private TimedResponse sendPayment(String node, String key) throws IOException {
        return post(node, "/payments", key);
    }

    private TimedResponse post(String node, String path, String key) throws IOException {
        HttpRequest request = withBody(createRequest(node, "POST", path), "{\"guests\":2}");
        return TimedResponse.send(deployment.getEndpoint(node), request.withHeader("Idempotency-Key", key));
    }

    private TimedResponse sendLookup(String node) throws IOException {
        return TimedResponse.send(deployment.getEndpoint(node), createRequest(node, "GET", "/schedule"));
    }

    private TimedResponse sendChat(String node) {
        String body = "{\"model\":\"tide-briefing\",\"service_tier\":\"urgent\",\"max_tokens\":200,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"" + "tide ".repeat(4000) + "\"}]}";
        HttpRequest request = withBody(createRequest(node, "POST", "/v1/chat/completions"), body)
                .withHeader("Magnoliavane-Deadline-Millis", Long.toString(DEADLINE_MILLIS));
        try {
            return TimedResponse.send(deployment.getEndpoint(node), request);
        } catch (IOException e) {
            throw new IllegalStateException(node + " did not respond", e);
        }
    }

    private HttpRequest createRequest(String node, String method, String path) {
        Endpoint endpoint = deployment.getEndpoint(node);
        return endpoint.createRequest(method, path)
                .withHeader("Authorization", "Bearer " + deployment.getSpec().bearerKey());
    }

    private static HttpRequest withBody(HttpRequest request, String body) {
        return request.withBody("application/json", body.getBytes(StandardCharsets.UTF_8));
    }
}
