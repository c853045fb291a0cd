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
 * Sends bookings and payments as many callers that send the same key again and again: to other nodes, while the first
 * call still runs, and after it was answered.
 *
 * <p>Thread-safe.
 */
final class KeyedCallers {
    private static final long DEADLINE_MILLIS = 2000;
    private static final long TIMEOUT_MILLIS = 2500;
    private static final int MAX_REPEATS = 3;
    private static final long PAUSE_MILLIS = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment deployment;
    private final KnownAddresses addresses;
    private final long seed;
    private final Map<String, KeyRecord> records = new ConcurrentHashMap<>();
    private final ExecutorService copies = Executors.newCachedThreadPool();

    KeyedCallers(LocalDeployment deployment, KnownAddresses addresses, long seed) {
        this.deployment = deployment;
        this.addresses = addresses;
        this.seed = seed;
    }

    /** Sends a number of keys over some threads and waits for all of them. */
    Map<String, KeyRecord> run(int keys, int threads, long timeoutMillis) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(threads);
        AtomicInteger next = new AtomicInteger();
        List<Future<?>> ends = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            ends.add(callers.submit(() -> {
                for (int n = next.getAndIncrement(); n < keys; n = next.getAndIncrement()) {
                    call(n);
                }
                return null;
            }));
        }
        callers.shutdown();
        try {
            if (!callers.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(next.get() + " of " + keys + " keys sent in time");
            }
            for (Future<?> end : ends) {
                end.get();
            }
        } finally {
            callers.shutdownNow();
            copies.shutdownNow();
        }
        return records;
    }

    private void call(int number) throws Exception {
        Random random = new Random(seed * 1_000_003 + number);
        KnownAddresses.Address address = addresses.choose(random);
        boolean withToken = random.nextInt(5) > 0;
        String key = withToken ? address.runToken() + "/k" + number : "k" + number;
        String path = random.nextBoolean() ? "/bookings" : "/payments";
        KeyRecord record = new KeyRecord();
        records.put(key, record);
        List<Future<?>> others = new ArrayList<>();
        int further = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
        for (int i = 0; i < further; i++) {
            long pause = random.nextInt(20);
            Random own = new Random(random.nextLong());
            others.add(copies.submit(() -> {
                Pauses.sleep(pause);
                repeat(addresses.chooseNode(own), path, key, record, own);
            }));
        }
        repeat(address.node(), path, key, record, random);
        for (Future<?> other : others) {
            other.get();
        }
        if (random.nextInt(10) == 0) {
            send(addresses.chooseNode(random), path, key, record);
        }
    }

    /** Sends the key to other nodes until the outcome is known or no more is to be learnt. */
    private void repeat(String first, String path, String key, KeyRecord record, Random random) {
        String node = first;
        for (int i = 0; i < MAX_REPEATS; i++) {
            if (send(node, path, key, record)) {
                return;
            }
            Pauses.sleep(PAUSE_MILLIS + random.nextInt((int) PAUSE_MILLIS));
            node = addresses.chooseNode(random);
        }
    }

    /** Sends once; returns true when the answer is final. */
    private boolean send(String node, String path, String key, KeyRecord record) {
        Endpoint endpoint = deployment.getEndpoint(node);
        HttpRequest request = endpoint.request("POST", path)
                .withBody("application/json", "{\"guests\":2}".getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .withHeader("Authorization", "Bearer " + deployment.getSize().bearerKey())
                .withHeader("Idempotency-Key", key)
                .withHeader("Magnoliavane-Deadline-Millis", Long.toString(DEADLINE_MILLIS))
                .withTimeoutMillis(TIMEOUT_MILLIS);
        record.countSent();
        try {
            return take(node, endpoint.send(request), key, record);
        } catch (IOException e) {
            record.take(Outcome.UNANSWERED, node, e.getMessage());
            return false;
        }
    }

    private static boolean take(String node, HttpResponse response, String key, KeyRecord record) throws IOException {
        JsonNode body = MAPPER.readTree(response.body());
        if (response.status() == 201) {
            boolean ofOtherKey = !body.path("key").asText().equals(key);
            record.takeReceipt(node, body.path("id").asText(), ofOtherKey);
            return true;
        }
        JsonNode error = body.path("error");
        Outcome outcome = Outcome.valueOf(error.path("ran").asText("unknown").toUpperCase(java.util.Locale.ROOT));
        record.take(
                outcome, node, response.status() + " " + error.path("message").asText());
        return outcome != Outcome.UNKNOWN || !error.has("retry_after_millis");
    }
}
