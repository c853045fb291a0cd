package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Measures the control work of nodes without callers against the number of nodes and of workers. Bytes are the payload
 * of the TCP connections that nodes open to the VM list, the log service, the workers and each other.
 */
final class Idle {
    private static final List<String> KINDS = List.of("vmlist", "log", "prefill", "decode", "plain", "peer");
    private static final double MICROS = 1e6;

    private final Calls calls;
    private final CountingRelay relay;
    private final Report report;
    private final double scale;
    private final List<Point> points = new ArrayList<>();

    Idle(Calls calls, CountingRelay relay, Report report, double scale) {
        this.calls = calls;
        this.relay = relay;
        this.report = report;
        this.scale = scale;
    }

    /**
     * Measures with more and more nodes, then with each number of workers. The last of these is also the first, so that
     * the slope for workers is not that of code which the compiler makes faster with time.
     *
     * @param nodes the numbers of nodes, the first of which run already
     * @param workers the numbers of model workers in the VM list, the first of which are listed already
     */
    void measure(int[] nodes, int[] workers) {
        report.begin("idle");
        Waiting.sleep((long) (10_000 * scale));
        measurePlacements();
        for (int count : nodes) {
            grow(count);
            observe(workers[0]);
        }
        for (int i = 1; i < workers.length; i++) {
            calls.deployment().listWorkers("prefill", workers[i] / 3);
            calls.deployment().listWorkers("decode", workers[i] - workers[i] / 3);
            Waiting.sleep((long) (1000 * scale));
            observe(workers[i]);
        }
        fitFigures();
    }

    /** Places chats at a coordinator on another node and counts what the two nodes say to each other. */
    private void measurePlacements() {
        String node = calls.getOtherNode();
        long before = relay.getSent("peer") + relay.getReceived("peer");
        TimedStream.Times ignored = TimedStream.Times.create();
        OpenLoop.Outcome outcome = OpenLoop.run(
                20, 5 * scale + 1, () -> calls.chat(node, 10, ignored).getTokens());
        double bytes = relay.getSent("peer") + relay.getReceived("peer") - before;
        report.add("peers: bytes both ways for each chat, heartbeats included", bytes / outcome.calls(), "bytes");
        report.add("chats without a complete answer, of " + outcome.calls(), outcome.failed(), "calls");
    }

    private void grow(int count) {
        try {
            while (calls.deployment().getNodes().size() < count) {
                calls.deployment().addNode();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Waiting.sleep((long) (1500 * scale));
    }

    private void observe(int workers) {
        LocalDeployment deployment = calls.deployment();
        List<String> nodes = deployment.getNodes();
        String coordinator = calls.getCoordinator();
        Map<String, Double> cpu = new LinkedHashMap<>();
        nodes.forEach(id -> cpu.put(id, ProcessFigures.getCpuSeconds(deployment.getProcess(id))));
        Map<String, Long> sent = read(relay::getSent);
        Map<String, Long> received = read(relay::getReceived);
        Map<String, Long> connections = read(relay::getConnections);
        long start = System.nanoTime();
        Waiting.sleep((long) (6000 * scale));
        double seconds = (System.nanoTime() - start) / 1e9;
        nodes.forEach(
                id -> cpu.computeIfPresent(id, (k, v) -> ProcessFigures.getCpuSeconds(deployment.getProcess(id)) - v));
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
        for (String kind : KINDS) {
            double out = (relay.getSent(kind) - sent.get(kind)) / seconds;
            double in = (relay.getReceived(kind) - received.get(kind)) / seconds;
            double opened = (relay.getConnections(kind) - connections.get(kind)) / seconds;
            bytes.put(kind, out + in);
            addTraffic(name, kind, nodes.size(), out, in, opened);
        }
        points.add(new Point(nodes.size(), workers, coordinatorShare, otherShare, bytes));
    }

    /** Engine reports are read by the coordinator alone; what peers send is received by peers. */
    private void addTraffic(String name, String kind, int nodes, double out, double in, double opened) {
        boolean engines = kind.equals("prefill") || kind.equals("decode");
        if (engines || kind.equals("plain")) {
            report.add(name + kind + " workers, sent by the coordinator", out, "bytes/s");
            report.add(name + kind + " workers, received by the coordinator", in, "bytes/s");
            report.add(name + kind + " workers, connections", opened, "/s");
        } else if (kind.equals("peer")) {
            report.add(name + "peers, sent by each node, and as much received", (out + in) / nodes, "bytes/s");
        } else {
            report.add(name + kind + ", sent by each node", out / nodes, "bytes/s");
            report.add(name + kind + ", received by each node", in / nodes, "bytes/s");
        }
    }

    private void fitFigures() {
        List<double[]> inputs =
                points.stream().map(p -> new double[] {1, p.nodes, p.workers}).toList();
        double[] other =
                LeastSquares.fit(inputs, points.stream().map(Point::other).toList());
        report.add("node: processor time without peers and workers (fit)", 100 * other[0], "% of a core");
        report.add("node: processor time for each node (fit)", MICROS * other[1], "us/s");
        report.add("node: processor time for each worker in the VM list (fit)", MICROS * other[2], "us/s");
        double[] more = LeastSquares.fit(
                inputs, points.stream().map(p -> p.coordinator - p.other).toList());
        report.add("coordinator: further processor time for each worker of its pool (fit)", MICROS * more[2], "us/s");
        double[] list = LeastSquares.fit(
                inputs,
                points.stream().map(p -> p.bytes.get("vmlist") / p.nodes).toList());
        report.add("VM list: bytes of each node for each node listed (fit)", list[1], "bytes/s");
        report.add("VM list: bytes of each node for each worker listed (fit)", list[2], "bytes/s");
        double[] engines = LeastSquares.fit(
                inputs,
                points.stream()
                        .map(p -> p.bytes.get("prefill") + p.bytes.get("decode"))
                        .toList());
        report.add("load reports: bytes of the coordinator for each worker of its pool (fit)", engines[2], "bytes/s");
        List<double[]> pairs =
                points.stream().map(p -> new double[] {p.nodes - 1}).toList();
        double[] peers = LeastSquares.fit(
                pairs, points.stream().map(p -> p.bytes.get("peer") / p.nodes).toList());
        report.add("peers: bytes sent by a node for each peer (fit), and as much received", peers[0], "bytes/s");
    }

    private static Map<String, Long> read(java.util.function.ToLongFunction<String> counter) {
        Map<String, Long> values = new LinkedHashMap<>();
        KINDS.forEach(kind -> values.put(kind, counter.applyAsLong(kind)));
        return values;
    }

    private record Point(int nodes, int workers, double coordinator, double other, Map<String, Double> bytes) {}
}
