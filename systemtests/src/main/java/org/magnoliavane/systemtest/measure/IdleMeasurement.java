package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Measures the CPU time and control traffic of nodes without callers as a function of the numbers of nodes and workers.
 * Bytes are the payload of the TCP connections that nodes open to the VM list, the log service, the workers and each
 * other.
 */
final class IdleMeasurement {
    private static final List<String> TRAFFIC_KINDS = List.of("vmlist", "log", "prefill", "decode", "plain", "peer");
    private static final double MICROS_PER_SECOND = 1e6;

    private final RequestSender sender;
    private final CountingRelay relay;
    private final Report report;
    private final double scale;
    private final List<Sample> samples = new ArrayList<>();

    IdleMeasurement(RequestSender sender, CountingRelay relay, Report report, double scale) {
        this.sender = sender;
        this.relay = relay;
        this.report = report;
        this.scale = scale;
    }

    /**
     * Measures with growing numbers of nodes, then with each number of workers. The last number of workers equals the
     * first, so that the fitted slope does not include the speed-up of code that is compiled in the meantime.
     *
     * @param nodes the numbers of nodes; the first number runs already
     * @param workers the numbers of model workers in the VM list; the first number is listed already
     */
    void measure(int[] nodes, int[] workers) {
        report.beginSection("idle");
        Waits.sleep((long) (10_000 * scale));
        measurePlacements();
        for (int count : nodes) {
            addNodes(count);
            addSample(workers[0]);
        }
        for (int i = 1; i < workers.length; i++) {
            sender.getDeployment().listWorkers("prefill", workers[i] / 3);
            sender.getDeployment().listWorkers("decode", workers[i] - workers[i] / 3);
            Waits.sleep((long) (1000 * scale));
            addSample(workers[i]);
        }
        reportFits();
    }

    /** Sends chats to a node that is not the coordinator and counts the bytes between nodes for each chat. */
    private void measurePlacements() {
        String node = sender.getNonCoordinator();
        long before = relay.getSent("peer") + relay.getReceived("peer");
        TimedStream.Times ignored = TimedStream.Times.create();
        OpenLoopLoad.Outcome outcome = OpenLoopLoad.run(
                20, 5 * scale + 1, () -> sender.sendChat(node, 10, ignored).getCompletion());
        double bytes = relay.getSent("peer") + relay.getReceived("peer") - before;
        report.add("peers: bytes both ways for each chat, heartbeats included", bytes / outcome.requests(), "bytes");
        report.add("chats without a complete answer, of " + outcome.requests(), outcome.failed(), "calls");
    }

    private void addNodes(int count) {
        try {
            while (sender.getDeployment().getNodes().size() < count) {
                sender.getDeployment().addNode();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Waits.sleep((long) (1500 * scale));
    }

    private void addSample(int workers) {
        LocalDeployment deployment = sender.getDeployment();
        List<String> nodes = deployment.getNodes();
        String coordinator = sender.getCoordinator();
        Map<String, Double> cpu = new LinkedHashMap<>();
        nodes.forEach(id -> cpu.put(id, ProcessMetrics.getCpuSeconds(deployment.getProcess(id))));
        Map<String, Long> sent = readCounters(relay::getSent);
        Map<String, Long> received = readCounters(relay::getReceived);
        Map<String, Long> connections = readCounters(relay::getConnections);
        long start = System.nanoTime();
        Waits.sleep((long) (6000 * scale));
        double seconds = (System.nanoTime() - start) / 1e9;
        nodes.forEach(
                id -> cpu.computeIfPresent(id, (k, v) -> ProcessMetrics.getCpuSeconds(deployment.getProcess(id)) - v));
        double coordinatorShare = cpu.get(coordinator) / seconds;
        double otherShare = nodes.stream()
                        .filter(id -> !id.equals(coordinator))
                        .mapToDouble(cpu::get)
                        .average()
                        .orElse(0)
                / seconds;
        String name = nodes.size() + " nodes, " + workers + " model workers: ";
        report.add(name + "processor time of the coordinator", 100 * coordinatorShare, "% of a core");
        report.add(name + "processor time of another node", 100 * otherShare, "% of a core");
        Map<String, Double> bytes = new LinkedHashMap<>();
        for (String kind : TRAFFIC_KINDS) {
            double sentPerSecond = (relay.getSent(kind) - sent.get(kind)) / seconds;
            double receivedPerSecond = (relay.getReceived(kind) - received.get(kind)) / seconds;
            double connectionsPerSecond = (relay.getConnections(kind) - connections.get(kind)) / seconds;
            bytes.put(kind, sentPerSecond + receivedPerSecond);
            reportTraffic(name, kind, nodes.size(), sentPerSecond, receivedPerSecond, connectionsPerSecond);
        }
        samples.add(new Sample(nodes.size(), workers, coordinatorShare, otherShare, bytes));
    }

    /** Only the coordinator reads the reports of engines. Bytes sent by one peer are received by another one. */
    private void reportTraffic(
            String name,
            String kind,
            int nodes,
            double sentPerSecond,
            double receivedPerSecond,
            double connectionsPerSecond) {
        boolean engines = kind.equals("prefill") || kind.equals("decode");
        if (engines || kind.equals("plain")) {
            report.add(name + kind + " workers, sent by the coordinator", sentPerSecond, "bytes/s");
            report.add(name + kind + " workers, received by the coordinator", receivedPerSecond, "bytes/s");
            report.add(name + kind + " workers, connections", connectionsPerSecond, "/s");
        } else if (kind.equals("peer")) {
            report.add(
                    name + "peers, sent by each node, and as much received",
                    (sentPerSecond + receivedPerSecond) / nodes,
                    "bytes/s");
        } else {
            report.add(name + kind + ", sent by each node", sentPerSecond / nodes, "bytes/s");
            report.add(name + kind + ", received by each node", receivedPerSecond / nodes, "bytes/s");
        }
    }

    private void reportFits() {
        List<double[]> inputs =
                samples.stream().map(p -> new double[] {1, p.nodes, p.workers}).toList();
        double[] other =
                LeastSquares.fit(inputs, samples.stream().map(Sample::other).toList());
        report.add("node: processor time without peers and workers (fit)", 100 * other[0], "% of a core");
        report.add("node: processor time for each node (fit)", MICROS_PER_SECOND * other[1], "us/s");
        report.add("node: processor time for each worker in the VM list (fit)", MICROS_PER_SECOND * other[2], "us/s");
        double[] further = LeastSquares.fit(
                inputs, samples.stream().map(p -> p.coordinator - p.other).toList());
        report.add(
                "coordinator: further processor time for each worker of its pool (fit)",
                MICROS_PER_SECOND * further[2],
                "us/s");
        double[] list = LeastSquares.fit(
                inputs,
                samples.stream().map(p -> p.bytes.get("vmlist") / p.nodes).toList());
        report.add("VM list: bytes of each node for each node listed (fit)", list[1], "bytes/s");
        report.add("VM list: bytes of each node for each worker listed (fit)", list[2], "bytes/s");
        double[] engines = LeastSquares.fit(
                inputs,
                samples.stream()
                        .map(p -> p.bytes.get("prefill") + p.bytes.get("decode"))
                        .toList());
        report.add("load reports: bytes of the coordinator for each worker of its pool (fit)", engines[2], "bytes/s");
        List<double[]> pairs =
                samples.stream().map(p -> new double[] {p.nodes - 1}).toList();
        double[] peers = LeastSquares.fit(
                pairs, samples.stream().map(p -> p.bytes.get("peer") / p.nodes).toList());
        report.add("peers: bytes sent by a node for each peer (fit), and as much received", peers[0], "bytes/s");
    }

    private static Map<String, Long> readCounters(java.util.function.ToLongFunction<String> counter) {
        Map<String, Long> values = new LinkedHashMap<>();
        TRAFFIC_KINDS.forEach(kind -> values.put(kind, counter.applyAsLong(kind)));
        return values;
    }

    private record Sample(int nodes, int workers, double coordinator, double other, Map<String, Double> bytes) {}
}
