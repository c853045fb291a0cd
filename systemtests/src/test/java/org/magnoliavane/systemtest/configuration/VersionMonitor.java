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
 * Polls every node for the version in force and records each change to an older one. No such change may occur at a
 * node, not even after its restart.
 *
 * <p>Thread-safe.
 */
final class VersionMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final long TIMEOUT_MILLIS = 500;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment deployment;
    private final Map<String, Long> versions = new HashMap<>();
    private final List<String> reversions = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    private VersionMonitor(LocalDeployment deployment) {
        this.deployment = deployment;
    }

    static VersionMonitor start(LocalDeployment deployment) {
        VersionMonitor monitor = new VersionMonitor(deployment);
        for (String node : deployment.getNodes()) {
            Thread thread = new Thread(() -> monitor.pollUntilStopped(node), "version-monitor-" + node);
            thread.setDaemon(true);
            monitor.threads.add(thread);
            thread.start();
        }
        return monitor;
    }

    /** Gets descriptions of the changes to an older version. */
    synchronized List<String> getReversions() {
        return List.copyOf(reversions);
    }

    /** Waits until the given version or a later one is in force at every node. Returns false after the timeout. */
    boolean awaitEverywhere(long version, long timeoutMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!isInForceEverywhere(version)) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
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

    private synchronized boolean isInForceEverywhere(long version) {
        return deployment.getNodes().stream().allMatch(node -> versions.getOrDefault(node, 0L) >= version);
    }

    private void pollUntilStopped(String node) {
        while (!stopped) {
            pollVersion(node);
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void pollVersion(String node) {
        Endpoint endpoint = deployment.getOperatorEndpoint(node);
        try {
            HttpResponse response = endpoint.send(
                    endpoint.createRequest("GET", "/operator/status").withTimeoutMillis(TIMEOUT_MILLIS));
            recordVersion(
                    node,
                    MAPPER.readTree(response.body())
                            .path("configuration_version")
                            .asLong());
        } catch (IOException e) {
            // The node is down.
        }
    }

    private synchronized void recordVersion(String node, long version) {
        if (version == 0) {
            return;
        }
        long last = versions.getOrDefault(node, 0L);
        if (version < last) {
            reversions.add(node + " changed from version " + last + " to " + version);
        }
        versions.put(node, version);
    }
}
