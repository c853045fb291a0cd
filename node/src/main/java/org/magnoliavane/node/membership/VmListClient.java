package org.magnoliavane.node.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Fetches the VM list over HTTP.
 *
 * <p>Thread-safe.
 */
public final class VmListClient implements VmList {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 1000;

    private final HttpClient http;
    private final HttpRequest request;

    private VmListClient(HttpClient http, HttpRequest request) {
        this.http = http;
        this.request = request;
    }

    /**
     * Creates a client.
     *
     * @param http the HTTP client, which this object does not close
     * @param host the IP address of the VM list
     * @param port the TCP port of the VM list
     * @return the client
     */
    public static VmListClient create(HttpClient http, String host, int port) {
        HttpRequest request = HttpRequest.of("GET", host, port, "/v1/vms").withTimeoutMillis(TIMEOUT_MILLIS);
        return new VmListClient(http, request);
    }

    @Override
    public CompletionStage<List<Vm>> fetch() {
        return http.send(request).thenApply(VmListClient::parse);
    }

    private static List<Vm> parse(HttpResponse response) {
        try {
            if (response.status() != 200) {
                throw new IOException("the VM list responded with status " + response.status());
            }
            VmListResponse list = MAPPER.readValue(response.body(), VmListResponse.class);
            if (list.vms() == null) {
                throw new IOException("the response of the VM list has no field vms");
            }
            return List.copyOf(list.vms());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Holds the JSON object of the response. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record VmListResponse(List<Vm> vms) {}
}
