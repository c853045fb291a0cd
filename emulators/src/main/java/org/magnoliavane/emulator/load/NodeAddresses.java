package org.magnoliavane.emulator.load;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Keeps the addresses of the nodes up to date in the same way as callers do: it requests the list from any known node
 * and keeps it for the lifetime given in the response.
 *
 * <p>Thread-safe.
 */
final class NodeAddresses {
    private static final int OK = 200;
    private static final long TIMEOUT_MILLIS = 1000;
    private static final long RETRY_MILLIS = 1000;
    private static final long MILLIS_PER_SECOND = 1000;

    private final HttpClient http;
    private final Timers timers;
    private final String zone;
    private final List<Address> configuredAddresses;
    private final SplittableRandom random;
    private volatile List<Address> addresses;

    NodeAddresses(HttpClient http, Timers timers, LoadOptions options) {
        this.http = http;
        this.timers = timers;
        zone = options.getZone();
        configuredAddresses = options.getNodes().stream()
                .map(url -> new Address(NodeUrl.parse(url), ""))
                .toList();
        addresses = configuredAddresses;
        random = new SplittableRandom(options.getSeed());
    }

    /**
     * Requests the addresses immediately and whenever their lifetime ends. The future completes with the first attempt,
     * even when it fails.
     */
    CompletableFuture<Void> start() {
        CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
        refresh(0, firstAttempt);
        return firstAttempt;
    }

    /** Chooses a random node other than the failed one if there is another. A null means that no node has failed. */
    synchronized Address choose(Address failed) {
        List<Address> now = addresses;
        List<Address> others = now.stream()
                .filter(address -> failed == null || !address.url.equals(failed.url))
                .toList();
        List<Address> candidates = others.isEmpty() ? now : others;
        return candidates.get(random.nextInt(candidates.size()));
    }

    private void refresh(int number, CompletableFuture<Void> firstAttempt) {
        List<Address> known = number < addresses.size() ? addresses : configuredAddresses;
        NodeUrl url = known.get(number % known.size()).url;
        String path = "/v1/addresses" + (zone.isEmpty() ? "" : "?zone=" + zone);
        HttpRequest request =
                HttpRequest.of("GET", url.host(), url.port(), path).withTimeoutMillis(TIMEOUT_MILLIS);
        http.send(request).whenComplete((response, cause) -> {
            long lifetimeMillis = cause == null ? applyResponse(response) : 0;
            boolean last = number + 1 >= addresses.size() + configuredAddresses.size();
            if (lifetimeMillis > 0 || last) {
                long pause = lifetimeMillis > 0 ? lifetimeMillis : RETRY_MILLIS;
                timers.schedule(pause, () -> refresh(0, new CompletableFuture<>()));
                firstAttempt.complete(null);
                return;
            }
            refresh(number + 1, firstAttempt);
        });
    }

    private long applyResponse(HttpResponse response) {
        try {
            AddressResponse parsed = Json.parse(response.body(), AddressResponse.class);
            if (response.status() != OK || parsed.addresses == null || parsed.addresses.isEmpty()) {
                return 0;
            }
            addresses = parsed.addresses.stream()
                    .map(entry -> new Address(NodeUrl.parse(entry.url), entry.runToken == null ? "" : entry.runToken))
                    .toList();
            return Math.max(1, parsed.lifetimeSeconds) * MILLIS_PER_SECOND;
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    /** Address of a node. The run token is the empty string when it is unknown. */
    record Address(NodeUrl url, String runToken) {}

    private record AddressResponse(long lifetimeSeconds, List<Entry> addresses) {}

    private record Entry(String url, String runToken) {}
}
