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
 * Keeps the addresses of the nodes, as callers do: it asks any node that it knows and keeps the answer for its
 * lifetime.
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

    /** Asks for the addresses now and again when the answer expires. The future ends with the first attempt. */
    CompletableFuture<Void> start() {
        CompletableFuture<Void> asked = new CompletableFuture<>();
        refresh(0, asked);
        return asked;
    }

    /** Chooses a node, not the one that failed just now if there is another. */
    synchronized Address choose(Address failed) {
        List<Address> now = addresses;
        List<Address> others = now.stream()
                .filter(address -> failed == null || !address.url.equals(failed.url))
                .toList();
        List<Address> candidates = others.isEmpty() ? now : others;
        return candidates.get(random.nextInt(candidates.size()));
    }

    private void refresh(int number, CompletableFuture<Void> asked) {
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
                asked.complete(null);
                return;
            }
            refresh(number + 1, asked);
        });
    }

    private long applyResponse(HttpResponse response) {
        try {
            AddressResponse answer = Json.parse(response.body(), AddressResponse.class);
            if (response.status() != OK || answer.addresses == null || answer.addresses.isEmpty()) {
                return 0;
            }
            addresses = answer.addresses.stream()
                    .map(entry -> new Address(NodeUrl.parse(entry.url), entry.runToken == null ? "" : entry.runToken))
                    .toList();
            return Math.max(1, answer.lifetimeSeconds) * MILLIS_PER_SECOND;
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    /** One node; the run token is empty when it is not known. */
    record Address(NodeUrl url, String runToken) {}

    private record AddressResponse(long lifetimeSeconds, List<Entry> addresses) {}

    private record Entry(String url, String runToken) {}
}
