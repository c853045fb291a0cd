package org.magnoliavane.systemtest.configuration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.ManagedProcess;

/** Publishes configurations, with the operators' command-line client or as records appended to the log service. */
final class ConfigurationPublisher {
    private static final long COMMAND_TIMEOUT_MILLIS = 30_000;
    private static final String STREAM = "/v1/streams/configuration/records";

    private final LocalDeployment deployment;
    private final Launcher launcher;
    private final String template;
    private int nextLifetime = 100;

    ConfigurationPublisher(LocalDeployment deployment, Launcher launcher) throws IOException {
        this.deployment = deployment;
        this.launcher = launcher;
        template = Files.readString(deployment.getSpec().getConfigurationFile());
    }

    /** Creates a configuration that differs from all earlier ones in the lifetime of addresses. */
    String createText() {
        return template.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = " + nextLifetime++);
    }

    ManagedProcess startPublish(String author, long base) throws IOException {
        Path file = launcher.getDirectory().resolve(author + ".toml");
        Files.writeString(file, createText());
        List<String> arguments = new ArrayList<>(List.of("publish", file.toString()));
        arguments.addAll(List.of("--log", deployment.getEndpoint("log").getUrl()));
        arguments.addAll(List.of("--author", author, "--base", Long.toString(base)));
        return launcher.startClient("publish", arguments.toArray(new String[0]));
    }

    int publish(String author, long base) throws IOException {
        return startPublish(author, base).awaitExit(COMMAND_TIMEOUT_MILLIS).orElseThrow();
    }

    /** Appends publications with consecutive versions, without starting a process for each. */
    void appendVersions(long base, int count) throws IOException {
        for (long v = base; v < base + count; v++) {
            append(new ConfigurationRecord.Publication(v, v + 1, createText(), "series", "id-" + v).toBytes());
        }
    }

    void append(byte[] record) throws IOException {
        Endpoint log = deployment.getEndpoint("log");
        HttpResponse response;
        do {
            response = log.send(log.createRequest("POST", STREAM).withBody("application/octet-stream", record));
        } while (response.status() == 429);
        if (response.status() != 201) {
            throw new IOException("append returned status " + response.status() + ": " + response.getText());
        }
    }

    void append(String record) throws IOException {
        append(record.getBytes(StandardCharsets.UTF_8));
    }

    long findFirstOffset() throws IOException {
        Endpoint log = deployment.getEndpoint("log");
        HttpResponse response = log.send(log.createRequest("GET", STREAM + "?from=0&limit=1"));
        return new ObjectMapper().readTree(response.body()).path("first_offset").asLong();
    }
}
