package org.magnoliavane.systemtest.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Asks every node again and again which version is in force, and keeps each change. A version once seen at a node must
 * never be followed by an older one there, also not after a restart of the node.
 *
 * <p>Thread-safe.
 */
final class VersionWatch implements AutoCloseable {
    private static final long PAUSE_MILLIS = 5;
    private static final long TIMEOUT_MILLIS = 500;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment deployment;
    private final Map<String, Long> versions = new HashMap<>();
    private final List<String> reversions = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    private VersionWatch(LocalDeployment deployment) {
        this.deployment = deployment;
    }

    static VersionWatch start(LocalDeployment deployment) {
        VersionWatch watch = new VersionWatch(deployment);
        for (String node : deployment.getNodes()) {
            Thread thread = new Thread(() -> watch.follow(node), "watch-" + node);
            thread.setDaemon(true);
            watch.threads.add(thread);
            thread.start();
        }
        return watch;
    }

    /** Gets the changes to an older version. */
    synchronized List<String> getReversions() {
        return List.copyOf(reversions);
    }

    /** Waits until a version or a later one is in force at every node; returns whether it was in time. */
    boolean awaitEverywhere(long version, long timeoutMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!isEverywhere(version)) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        return true;
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(2 * TIMEOUT_MILLIS);
        }
    }

    private synchronized boolean isEverywhere(long version) {
        return deployment.getNodes().stream().allMatch(node -> versions.getOrDefault(node, 0L) >= version);
    }

    private void follow(String node) {
        while (!stopped) {
            ask(node);
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void ask(String node) {
        Endpoint endpoint = deployment.getOperatorEndpoint(node);
        try {
            HttpResponse response =
                    endpoint.send(endpoint.request("GET", "/operator/status").withTimeoutMillis(TIMEOUT_MILLIS));
            note(
                    node,
                    MAPPER.readTree(response.body())
                            .path("configuration_version")
                            .asLong());
        } catch (IOException e) {
            // The node is down.
        }
    }

    private synchronized void note(String node, long version) {
        if (version == 0) {
            return;
        }
        long last = versions.getOrDefault(node, 0L);
        if (version < last) {
            reversions.add(node + " went from version " + last + " to " + version);
        }
        versions.put(node, version);
    }
}
