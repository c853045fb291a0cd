package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.HdrHistogram.Histogram;
import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.ManagedProcess;

/**
 * Measures the time until a published configuration is in force at every node, and the CPU time of a node per change,
 * as a function of the length of the text.
 */
final class ConfigurationMeasurement {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double CHANGES_PER_SECOND = 25;

    private final LocalDeployment deployment;
    private final Report report;
    private final String example;
    private final double scale;
    private long version = 1;

    ConfigurationMeasurement(LocalDeployment deployment, String example, Report report, double scale) {
        this.deployment = deployment;
        this.example = example;
        this.report = report;
        this.scale = scale;
    }

    void measure(int[] callers) {
        report.beginSection("configuration");
        measureCpuPerChange(callers[callers.length - 1], (int) (60 * scale) + 5);
        List<double[]> inputs = new ArrayList<>();
        List<Double> costs = new ArrayList<>();
        for (int count : callers) {
            double kilobytes = createText(count, 0).length() / 1000.0;
            String name = count + " callers, 12 models, " + Math.round(kilobytes) + " KB: ";
            Histogram times = measureActivationTimes(count, (int) (16 * scale) + 3);
            report.add(name + "in force at all nodes, median", times.getValueAtPercentile(50) / 1000.0, "ms");
            report.add(name + "in force at all nodes, longest", times.getMaxValue() / 1000.0, "ms");
            double cost = measureCpuPerChange(count, (int) (100 * scale) + 4);
            report.add(name + "processor time of a node for each change", MICROS_PER_SECOND * cost, "us");
            inputs.add(new double[] {1, kilobytes});
            costs.add(cost);
        }
        double[] fit = LeastSquares.fit(inputs, costs);
        report.add("processor time of a node for each change (fit)", MICROS_PER_SECOND * fit[0], "us");
        report.add("and for each KB of text (fit)", MICROS_PER_SECOND * fit[1], "us/KB");
    }

    /** Publishes changes one by one and polls the nodes for their version every 5 ms. */
    private Histogram measureActivationTimes(int callers, int changes) {
        Histogram times = TimedStream.Times.newHistogram();
        for (int i = 0; i < changes; i++) {
            long start = System.nanoTime();
            publish(createText(callers, i));
            awaitActivation();
            times.recordValue((System.nanoTime() - start) / 1000);
            Waits.sleep(30 + 7 * (i % 11));
        }
        return times;
    }

    /** Publishes changes at a constant rate without polling the nodes. Returns the CPU seconds of a node per change. */
    private double measureCpuPerChange(int callers, int changes) {
        double idle = measureCpuPerSecond((long) (3000 * scale) + 1000);
        long start = System.nanoTime();
        double before = sumCpuSeconds();
        for (int i = 0; i < changes; i++) {
            publish(createText(callers, i));
            Waits.sleep((long) (1000 / CHANGES_PER_SECOND));
        }
        Waits.sleep(1000);
        double used = sumCpuSeconds() - before - idle * (System.nanoTime() - start) / 1e9;
        awaitActivation();
        return used / changes / deployment.getNodes().size();
    }

    private double measureCpuPerSecond(long millis) {
        double before = sumCpuSeconds();
        long start = System.nanoTime();
        Waits.sleep(millis);
        return (sumCpuSeconds() - before) / ((System.nanoTime() - start) / 1e9);
    }

    private double sumCpuSeconds() {
        return deployment.getNodes().stream()
                .map(deployment::getProcess)
                .mapToDouble((ManagedProcess p) -> ProcessMetrics.getCpuSeconds(p))
                .sum();
    }

    private void awaitActivation() {
        boolean inForce = Waits.awaitCondition(
                10_000,
                () -> deployment.getNodes().stream()
                        .allMatch(node ->
                                deployment.findConfigurationVersion(node).equals(Optional.of(version))));
        if (!inForce) {
            throw new IllegalStateException("version " + version + " is not in force everywhere after 10 s");
        }
    }

    private void publish(String text) {
        byte[] bytes = new ConfigurationRecord.Publication(
                        version, version + 1, text, "measure", UUID.randomUUID().toString())
                .toBytes();
        Endpoint log = deployment.getEndpoint("log");
        try {
            HttpResponse response = log.send(log.createRequest("POST", "/v1/streams/configuration/records")
                    .withBody("application/json", bytes));
            if (response.status() != 201) {
                throw new IOException("log service returned status " + response.status() + ": " + response.getText());
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        version++;
    }

    /**
     * Creates a configuration with further callers and models. Successive changes differ in the lifetime of addresses.
     */
    private String createText(int callers, int change) {
        StringBuilder text = new StringBuilder(example.replaceFirst(
                "address_lifetime_seconds = \\d+", "address_lifetime_seconds = " + (20 + change % 40)));
        int models = text.indexOf("\"safety-note\"");
        text.insert(models, "\"m4\", \"m5\", \"m6\", \"m7\", \"m8\", \"m9\", \"m10\", \"m11\", \"m12\", ");
        for (int i = 0; i < callers; i++) {
            String hash = UUID.nameUUIDFromBytes(("caller-" + i).getBytes(StandardCharsets.UTF_8))
                    .toString()
                    .replace("-", "");
            text.append("\n[callers.school-").append(i).append("]\n");
            text.append("partner = \"school-").append(i).append("\"\n");
            text.append("key_sha256 = \"").append(hash).append(hash).append("\"\n");
            text.append("services = [\"briefings\", \"bookings\"]\n");
        }
        return text.toString();
    }
}
