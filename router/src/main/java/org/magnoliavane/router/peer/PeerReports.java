package org.magnoliavane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSpeeds;
import org.magnoliavane.poison.Refutation;
import org.magnoliavane.protocol.generated.CrashEvidence;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.WorkerPause;
import org.magnoliavane.protocol.generated.WorkerShare;
import org.magnoliavane.protocol.generated.WorkerSpeed;
import org.magnoliavane.router.dispatch.PoisonGuard;
import org.magnoliavane.router.store.NodeListing;

/**
 * Sends the report of this node to the other nodes several times a second, to a bounded number of them in each round,
 * and receives their reports. Reports are datagrams; a lost one is superseded by the next.
 *
 * <p>Thread-safe.
 */
public final class PeerReports {
    private static final Logger LOG = System.getLogger(PeerReports.class.getName());

    /** Interval between two rounds of reports. */
    private static final long ROUND_MILLIS = 250;

    /**
     * Minimum interval between reports of changes, for each node that receives them. Reservation owners decide on
     * scarce memory, so these reports need not be immediate.
     */
    private static final long CHANGE_REPORT_MILLIS_PER_NODE = 5;

    /** Maximum number of nodes that get a report in one round; bounds the cost of a node in a large fleet. */
    private static final int MAX_NODES_PER_ROUND = 16;

    /** Maximum number of workers in a report, so that it fits into one packet. */
    private static final int MAX_WORKER_SHARES = 40;

    /** Maximum number of measured speeds in a report; successive reports go through all workers. */
    private static final int MAX_SPEEDS = 16;

    /** Maximum number of samples that are read from a report, so that one node does not outweigh all others. */
    private static final int MAX_SPEED_SAMPLES = 100;

    /** Maximum number of features with evidence on crashes in a report. */
    private static final int MAX_EVIDENCE = 64;

    /** Delay of a report on a crash, so that it has the evidence of all requests that broke off with the worker. */
    private static final long EVIDENCE_REPORT_MILLIS = 3;

    private static final double PERMILLE = 1000.0;

    private final PeerTable peerTable;
    private final WorkerLoadTracker loadTracker;
    private final PoisonGuard poisonGuard;
    private final LongSupplier millis;
    private final Supplier<NodeReport> baseReport;
    private final Consumer<NodeReport> onReport;
    private final PeerChannel channel;
    private final AtomicBoolean changePending = new AtomicBoolean();
    private final AtomicBoolean evidencePending = new AtomicBoolean();
    private int nextNode;
    private int nextLost;

    private PeerReports(
            PeerChannel channel,
            PeerTable peerTable,
            WorkerLoadTracker loadTracker,
            PoisonGuard poisonGuard,
            LongSupplier millis,
            Supplier<NodeReport> baseReport,
            Consumer<NodeReport> onReport) {
        this.channel = channel;
        this.peerTable = peerTable;
        this.loadTracker = loadTracker;
        this.poisonGuard = poisonGuard;
        this.millis = millis;
        this.baseReport = baseReport;
        this.onReport = onReport;
        channel.addListener((datagram, sender) -> {
            if (datagram.hasReport()) {
                handleReport(datagram.getReport());
            }
        });
        channel.repeat("reports", ROUND_MILLIS, this::sendRound);
    }

    /**
     * Starts to send and receive reports.
     *
     * @param channel transports the reports
     * @param peerTable the table of the other nodes
     * @param loadTracker the load and health of the workers
     * @param poisonGuard knows which features of requests crash workers
     * @param millis a monotonic clock in milliseconds
     * @param baseReport supplies the report of this node without loads and crashes
     * @param onReport called with each report of another node
     * @return the running exchange
     */
    public static PeerReports open(
            PeerChannel channel,
            PeerTable peerTable,
            WorkerLoadTracker loadTracker,
            PoisonGuard poisonGuard,
            LongSupplier millis,
            Supplier<NodeReport> baseReport,
            Consumer<NodeReport> onReport) {
        return new PeerReports(channel, peerTable, loadTracker, poisonGuard, millis, baseReport, onReport);
    }

    /** Schedules a report to all nodes, because this node has seen a crash of a worker. */
    public void scheduleEvidenceReport() {
        if (evidencePending.compareAndSet(false, true)) {
            channel.getExecutor()
                    .schedule(
                            () -> {
                                evidencePending.set(false);
                                send(peerTable.getListings());
                            },
                            EVIDENCE_REPORT_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Schedules a report because the load that this node puts on a worker has changed. In a large fleet only the
     * regular rounds are sent: reports of changes would be most of the messages, and reservation owners know the scarce
     * memory anyway.
     */
    public void scheduleChangeReport() {
        long delay = CHANGE_REPORT_MILLIS_PER_NODE * peerTable.getListings().size();
        if (delay < ROUND_MILLIS / 2 && changePending.compareAndSet(false, true)) {
            channel.getExecutor()
                    .schedule(
                            () -> {
                                changePending.set(false);
                                sendRound();
                            },
                            delay,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Sends a report to all nodes at once, for example when this node starts to shut down. */
    public void sendToAll() {
        channel.getExecutor().execute(() -> send(peerTable.getListings()));
    }

    private void sendRound() {
        List<NodeListing> lost = peerTable.getLostListings(millis.getAsLong());
        List<NodeListing> others = new ArrayList<>(peerTable.getListings());
        others.removeAll(lost);
        List<NodeListing> next = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_NODES_PER_ROUND, others.size()); i++) {
            next.add(others.get(Math.floorMod(nextNode++, others.size())));
        }
        if (!lost.isEmpty()) {
            // Two nodes that lose each other in a partition would otherwise never hear of each other again.
            next.add(lost.get(Math.floorMod(nextLost++, lost.size())));
        }
        send(next);
    }

    private void send(List<NodeListing> nodes) {
        if (nodes.isEmpty()) {
            return;
        }
        channel.send(channel.createDatagram().setReport(createReport()).build(), nodes);
    }

    private NodeReport createReport() {
        NodeReport.Builder report = baseReport.get().toBuilder();
        Map<String, WorkerLoadTracker.Load> loads = loadTracker.getOwnLoads(millis.getAsLong());
        loads.entrySet().stream()
                .limit(MAX_WORKER_SHARES)
                .forEach(e -> report.addShares(WorkerShare.newBuilder()
                        .setWorker(e.getKey())
                        .setRequests(Math.max(0, e.getValue().requests()))
                        .setTokens(Math.max(0, e.getValue().tokens()))
                        .setFailurePermille((int) (PERMILLE * e.getValue().failureRate()))));
        loadTracker
                .getSpeeds()
                .getNextMeasurements(MAX_SPEEDS, millis.getAsLong())
                .forEach((worker, m) -> report.addSpeeds(WorkerSpeed.newBuilder()
                        .setWorker(worker)
                        .setSpeedPermille((int) (PERMILLE * m.speed()))
                        .setSamples((int) Math.ceil(m.samples()))));
        poisonGuard.getReport(MAX_EVIDENCE).forEach(e -> report.addCrashEvidence(toMessage(e)));
        return report.build();
    }

    private void handleReport(NodeReport report) {
        long now = millis.getAsLong();
        peerTable.recordReport(report, now);
        Map<String, WorkerLoadTracker.Load> loads = new HashMap<>();
        for (WorkerShare share : report.getSharesList()) {
            loads.put(
                    share.getWorker(),
                    new WorkerLoadTracker.Load(
                            share.getRequests(), share.getTokens(), share.getFailurePermille() / PERMILLE));
        }
        loadTracker.updatePeerLoads(report.getNode(), loads, now);
        Map<String, WorkerSpeeds.Measurement> measurements = new HashMap<>();
        for (WorkerSpeed speed : report.getSpeedsList()) {
            measurements.put(
                    speed.getWorker(),
                    new WorkerSpeeds.Measurement(
                            speed.getSpeedPermille() / PERMILLE, Math.min(speed.getSamples(), MAX_SPEED_SAMPLES)));
        }
        loadTracker.getSpeeds().updatePeerMeasurements(report.getNode(), measurements, now);
        for (WorkerPause pause : report.getUnreachableList()) {
            if (!loadTracker.isUnhealthy(pause.getWorker(), now)) {
                LOG.log(
                        Level.INFO,
                        "event=worker_unreachable worker={0} millis={1} from={2}",
                        pause.getWorker(),
                        pause.getMillis(),
                        report.getNode());
            }
            loadTracker.suspendByPeerReport(pause.getWorker(), pause.getMillis(), now);
        }
        report.getPausesList().forEach(p -> loadTracker.suspendByPeerReport(p.getWorker(), p.getMillis(), now));
        report.getCrashEvidenceList().forEach(e -> poisonGuard.merge(toEvidence(e), report.getNode()));
        onReport.accept(report);
    }

    private static CrashEvidence toMessage(org.magnoliavane.poison.CrashEvidence evidence) {
        CrashEvidence.Builder message = CrashEvidence.newBuilder().setFeature(evidence.feature());
        evidence.crashes()
                .forEach((crash, refutation) -> message.addCrashes(crash).addRefutations(refutation.ordinal()));
        return message.build();
    }

    /** Converts evidence of another node. A value that this version does not know counts as the strongest. */
    private static org.magnoliavane.poison.CrashEvidence toEvidence(CrashEvidence message) {
        Refutation[] values = Refutation.values();
        Map<Long, Refutation> crashes = new LinkedHashMap<>();
        for (int i = 0; i < Math.min(message.getCrashesCount(), message.getRefutationsCount()); i++) {
            int value = Math.min(message.getRefutations(i), values.length - 1);
            crashes.put(message.getCrashes(i), values[Math.max(0, value)]);
        }
        return new org.magnoliavane.poison.CrashEvidence(message.getFeature(), crashes);
    }
}
