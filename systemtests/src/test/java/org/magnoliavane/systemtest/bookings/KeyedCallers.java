package org.magnoliavane.systemtest.bookings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.bookings.KeyRecord.Outcome;

/**
 * Sends bookings and payments from many callers that repeat a key at other nodes, while the first request still runs,
 * and after it was answered.
 *
 * <p>Thread-safe.
 */
final class KeyedCallers {
    private static final long DEADLINE_MILLIS = 2000;
    private static final long TIMEOUT_MILLIS = 2500;
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment deployment;
    private final KnownAddresses addresses;
    private final long seed;
    private final Map<String, KeyRecord> records = new ConcurrentHashMap<>();
    private final ExecutorService duplicateExecutor = Executors.newCachedThreadPool();

    KeyedCallers(LocalDeployment deployment, KnownAddresses addresses, long seed) {
        this.deployment = deployment;
        this.addresses = addresses;
        this.seed = seed;
    }

    /**
     * Sends the given number of keys from the given number of threads and waits for all of them. Returns the record of
     * each key.
     */
    Map<String, KeyRecord> run(int keys, int threads, long timeoutMillis) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(threads);
        AtomicInteger nextNumber = new AtomicInteger();
        List<Future<?>> futures = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            futures.add(callers.submit(() -> {
                for (int n = nextNumber.getAndIncrement(); n < keys; n = nextNumber.getAndIncrement()) {
                    sendKey(n);
                }
                return null;
            }));
        }
        callers.shutdown();
        try {
            if (!callers.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(nextNumber.get() + " of " + keys + " keys sent in time");
            }
            for (Future<?> future : futures) {
                future.get();
            }
        } finally {
            callers.shutdownNow();
            duplicateExecutor.shutdownNow();
        }
        return records;
    }

    private void sendKey(int number) throws Exception {
        Random random = new Random(seed * 1_000_003 + number);
        KnownAddresses.Address address = addresses.chooseAddress(random);
        boolean withToken = random.nextInt(5) > 0;
        String key = withToken ? address.runToken() + "/k" + number : "k" + number;
        String path = random.nextBoolean() ? "/bookings" : "/payments";
        KeyRecord record = new KeyRecord();
        records.put(key, record);
        List<Future<?>> duplicates = new ArrayList<>();
        int duplicateCount = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
        for (int i = 0; i < duplicateCount; i++) {
            long delay = random.nextInt(20);
            Random ownRandom = new Random(random.nextLong());
            duplicates.add(duplicateExecutor.submit(() -> {
                Sleeps.sleep(delay);
                sendWithRetries(addresses.chooseNode(ownRandom), path, key, record, ownRandom);
            }));
        }
        sendWithRetries(address.node(), path, key, record, random);
        for (Future<?> duplicate : duplicates) {
            duplicate.get();
        }
        if (random.nextInt(10) == 0) {
            send(addresses.chooseNode(random), path, key, record);
        }
    }

    /** Sends the key to one node after the other until a response is final or the attempts are used up. */
    private void sendWithRetries(String first, String path, String key, KeyRecord record, Random random) {
        String node = first;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            if (send(node, path, key, record)) {
                return;
            }
            Sleeps.sleep(RETRY_DELAY_MILLIS + random.nextInt((int) RETRY_DELAY_MILLIS));
            node = addresses.chooseNode(random);
        }
    }

    /** Sends the key once. Returns true when the response is final. */
    private boolean send(String node, String path, String key, KeyRecord record) {
        Endpoint endpoint = deployment.getEndpoint(node);
        HttpRequest request = endpoint.createRequest("POST", path)
                .withBody("application/json", "{\"guests\":2}".getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .withHeader("Authorization", "Bearer " + deployment.getSpec().bearerKey())
                .withHeader("Idempotency-Key", key)
                .withHeader("Magnoliavane-Deadline-Millis", Long.toString(DEADLINE_MILLIS))
                .withTimeoutMillis(TIMEOUT_MILLIS);
        record.countSent();
        try {
            return recordResponse(node, endpoint.send(request), key, record);
        } catch (IOException e) {
            record.recordOutcome(Outcome.UNANSWERED, node, e.getMessage());
            return false;
        }
    }

    private static boolean recordResponse(String node, HttpResponse response, String key, KeyRecord record)
            throws IOException {
        JsonNode body = MAPPER.readTree(response.body());
        if (response.status() == 201) {
            boolean ofOtherKey = !body.path("key").asText().equals(key);
            record.recordReceipt(node, body.path("id").asText(), ofOtherKey);
            return true;
        }
        JsonNode error = body.path("error");
        Outcome outcome = Outcome.valueOf(error.path("ran").asText("unknown").toUpperCase(java.util.Locale.ROOT));
        record.recordOutcome(
                outcome, node, response.status() + " " + error.path("message").asText());
        return outcome != Outcome.UNKNOWN || !error.has("retry_after_millis");
    }
}
