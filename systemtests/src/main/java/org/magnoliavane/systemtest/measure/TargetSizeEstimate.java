package org.magnoliavane.systemtest.measure;

import java.util.NoSuchElementException;

/** Estimates the resources of a node at the target size (section 1.7 of the design page) from measured slopes. */
final class TargetSizeEstimate {
    private static final double NODES = 360;
    private static final double WORKERS = 12_000;
    private static final double REGIONS = 11;
    private static final double ZONES = 36;
    private static final double POOLS = 132;
    private static final double REQUESTS_PER_SECOND = 38_000;
    private static final double TOKENS_PER_SECOND = 9_900_000;
    private static final double TTFT_SECONDS = 0.54;
    private static final double TBT_SECONDS = 0.071;
    private static final double CHANGES_PER_SECOND = 10_000 / 86_400.0;
    /** The measured deployments poll the VM list every 300 ms, the default settings every 500 ms. */
    private static final double POLL_INTERVAL_RATIO = 300 / 500.0;

    private static final double CONFIGURATION_KILOBYTES = 35;
    private static final double BASE64_EXPANSION = 4 / 3.0;

    private final Report report;

    private TargetSizeEstimate(Report report) {
        this.report = report;
    }

    static void calculate(Report report) {
        TargetSizeEstimate estimate = new TargetSizeEstimate(report);
        report.beginSection("calculated at the target size");
        estimate.calculateCallerNode();
        estimate.calculateCoordinator();
        estimate.calculateMembership();
        estimate.calculatePeers();
        estimate.calculateConfiguration();
    }

    private void calculateCallerNode() {
        double requests = REQUESTS_PER_SECOND / NODES;
        double tokens = TOKENS_PER_SECOND / NODES;
        double perChat = getValue("throughput", "caller's node: processor time for each chat (fit)");
        double perToken = getValue("throughput", "caller's node: processor time for each relayed token (fit)");
        double streams = requests * (TTFT_SECONDS + tokens / requests * TBT_SECONDS);
        report.add("callers' side: chats of a node", requests, "/s");
        report.add("callers' side: tokens of a node", tokens, "/s");
        report.add("callers' side: processor time for chats", requests * perChat / 1e6, "cores");
        report.add("callers' side: processor time for tokens", tokens * perToken / 1e6, "cores");
        report.add("callers' side: open streams, with TTFT and TBT at their targets", streams, "streams");
        report.add(
                "callers' side: heap of open streams",
                streams * getValue("memory", "heap for each stream (fit)") / 1024,
                "MB");
    }

    private void calculateCoordinator() {
        double workers = WORKERS / POOLS;
        double placements = REQUESTS_PER_SECOND / POOLS;
        double perPlacement = getValue("throughput", "coordinator: processor time for each placement (fit)");
        double perWorker = getValue("idle", "coordinator: further processor time for each worker of its pool (fit)");
        double reports = getValue("idle", "load reports: bytes of the coordinator for each worker of its pool (fit)");
        double perChat = getValue("idle", "peers: bytes both ways for each chat, heartbeats included");
        report.add(
                "coordinator: processor time for placements of a pool", placements * perPlacement / 1e4, "% of a core");
        report.add("coordinator: processor time for load reports of a pool", workers * perWorker / 1e4, "% of a core");
        report.add("coordinator: bytes of load reports of a pool", workers * reports, "bytes/s");
        report.add("coordinator: bytes of placement messages of a pool", placements * perChat, "bytes/s");
        report.add("caller's node: bytes of placement messages", REQUESTS_PER_SECOND / NODES * perChat, "bytes/s");
    }

    private void calculateMembership() {
        double cpu =
                getValue("idle", "node: processor time for each worker in the VM list (fit)") * POLL_INTERVAL_RATIO;
        double perNode =
                getValue("idle", "VM list: bytes of each node for each node listed (fit)") * POLL_INTERVAL_RATIO;
        double perWorker =
                getValue("idle", "VM list: bytes of each node for each worker listed (fit)") * POLL_INTERVAL_RATIO;
        double allBytes = NODES * perNode + WORKERS * perWorker;
        report.add("VM list: processor time, polled every 500 ms", WORKERS * cpu / 1e4, "% of a core");
        report.add("VM list: bytes, polled every 500 ms", allBytes, "bytes/s");
        report.add("VM list of one region: bytes, polled every 500 ms", allBytes / REGIONS, "bytes/s");
    }

    private void calculatePeers() {
        double bytes = getValue("idle", "peers: bytes sent by a node for each peer (fit), and as much received");
        double cpu = getValue("idle", "node: processor time for each node (fit)");
        double zone = NODES / ZONES - 1;
        report.add("peers: processor time, full mesh", (NODES - 1) * cpu / 1e4, "% of a core");
        report.add("peers: bytes sent, full mesh, and as much received", (NODES - 1) * bytes, "bytes/s");
        report.add("peers: bytes sent, peers of the availability zone, and as much received", zone * bytes, "bytes/s");
    }

    private void calculateConfiguration() {
        double perChange = getValue("configuration", "processor time of a node for each change (fit)");
        double perKilobyte = getValue("configuration", "and for each KB of text (fit)");
        double micros = perChange + CONFIGURATION_KILOBYTES * perKilobyte;
        report.add("configuration: processor time", CHANGES_PER_SECOND * micros / 1e4, "% of a core");
        report.add(
                "configuration: bytes received",
                CHANGES_PER_SECOND * CONFIGURATION_KILOBYTES * 1000 * BASE64_EXPANSION,
                "bytes/s");
    }

    private double getValue(String section, String name) {
        return report.findValue(section, name)
                .orElseThrow(() -> new NoSuchElementException("section " + section + " has no figure '" + name + "'"));
    }
}
