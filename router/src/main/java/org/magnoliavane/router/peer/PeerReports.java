package org.magnoliavane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.magnoliavane.balance.CrashTracker;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.protocol.generated.ContentCrash;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.WorkerShare;
import org.magnoliavane.router.store.NodeListing;

/**
 * Sends this node's report to the other nodes several times a second, a bounded number of them at a time, and takes
 * theirs. Reports are datagrams: a lost one is replaced by the next.
 *
 * <p>Thread-safe.
 */
public final class PeerReports {
    private static final Logger LOG = System.getLogger(PeerReports.class.getName());

    /** Pause between two rounds of reports. */
    private static final long ROUND_MILLIS = 250;

    /** Least pause between reports of changes, for each node that gets them; stewards decide on what is scarce. */
    private static final long CHANGE_MILLIS_PER_NODE = 5;

    /** Number of nodes that get a report in one round, so that the cost of a node does not grow with the fleet. */
    private static final int NODES_IN_ROUND = 16;

    /** Largest number of workers in a report, so that it fits into one packet. */
    private static final int MAX_SHARES = 40;

    /** Number of newest crashes that each report repeats. */
    private static final int MAX_CRASHES = 12;

    private static final double PERMILLE = 1000.0;

    private final PeerTable table;
    private final WorkerLoadTracker ledger;
    private final CrashTracker crashes;
    private final LongSupplier millis;
    private final Supplier<NodeReport> state;
    private final Consumer<NodeReport> onReport;
    private final Deque<ContentCrash> newestCrashes = new ArrayDeque<>();
    private final PeerChannel channel;
    private final AtomicBoolean changePending = new AtomicBoolean();
    private int position;

    private PeerReports(
            PeerChannel channel,
            PeerTable table,
            WorkerLoadTracker ledger,
            CrashTracker crashes,
            LongSupplier millis,
            Supplier<NodeReport> state,
            Consumer<NodeReport> onReport) {
        this.channel = channel;
        this.table = table;
        this.ledger = ledger;
        this.crashes = crashes;
        this.millis = millis;
        this.state = state;
        this.onReport = onReport;
        channel.listen((datagram, sender) -> {
            if (datagram.hasReport()) {
                take(datagram.getReport());
            }
        });
        channel.executor().scheduleWithFixedDelay(this::sendRound, ROUND_MILLIS, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to send and to take reports.
     *
     * @param channel carries the reports
     * @param table the other nodes
     * @param ledger load and health of the workers
     * @param crashes contents that crash workers
     * @param millis a monotonic clock in milliseconds
     * @param state gives the report of this node without loads and crashes
     * @param onReport takes each report of another node
     * @return the running exchange of reports
     */
    public static PeerReports open(
            PeerChannel channel,
            PeerTable table,
            WorkerLoadTracker ledger,
            CrashTracker crashes,
            LongSupplier millis,
            Supplier<NodeReport> state,
            Consumer<NodeReport> onReport) {
        return new PeerReports(channel, table, ledger, crashes, millis, state, onReport);
    }

    /**
     * Tells the other nodes of a crash that this node has seen.
     *
     * @param content the hash of the content that the worker ran
     * @param crash names the start of the worker
     */
    public void addCrash(long content, String crash) {
        synchronized (newestCrashes) {
            newestCrashes.addFirst(ContentCrash.newBuilder()
                    .setContent(content)
                    .setCrash(crash)
                    .build());
            while (newestCrashes.size() > MAX_CRASHES) {
                newestCrashes.removeLast();
            }
        }
    }

    /**
     * Sends a report soon, because this node has taken or given back room at a worker. In a large fleet the regular rounds
     * have to do: reports of changes would be most of the messages, and stewards know what is scarce.
     */
    public void changed() {
        long pause = CHANGE_MILLIS_PER_NODE * table.getListings().size();
        if (pause < ROUND_MILLIS / 2 && changePending.compareAndSet(false, true)) {
            channel.executor()
                    .schedule(
                            () -> {
                                changePending.set(false);
                                sendRound();
                            },
                            pause,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Sends a report to all nodes at once, for example before this node leaves. */
    public void sendToAll() {
        channel.executor().execute(() -> send(table.getListings()));
    }

    private void sendRound() {
        List<NodeListing> all = table.getListings();
        List<NodeListing> next = new ArrayList<>();
        for (int i = 0; i < Math.min(NODES_IN_ROUND, all.size()); i++) {
            next.add(all.get(Math.floorMod(position++, all.size())));
        }
        send(next);
    }

    private void send(List<NodeListing> nodes) {
        if (nodes.isEmpty()) {
            return;
        }
        channel.send(channel.datagram().setReport(createReport()).build(), nodes);
    }

    private NodeReport createReport() {
        NodeReport.Builder report = state.get().toBuilder();
        Map<String, WorkerLoadTracker.Load> loads = ledger.getOwnLoads(millis.getAsLong());
        loads.entrySet().stream()
                .limit(MAX_SHARES)
                .forEach(e -> report.addShares(WorkerShare.newBuilder()
                        .setWorker(e.getKey())
                        .setRequests(Math.max(0, e.getValue().requests()))
                        .setTokens(Math.max(0, e.getValue().tokens()))
                        .setFailurePermille((int) (PERMILLE * e.getValue().failureRate()))));
        synchronized (newestCrashes) {
            report.addAllCrashes(newestCrashes);
        }
        return report.build();
    }

    private void take(NodeReport report) {
        long now = millis.getAsLong();
        table.heard(report, now);
        Map<String, WorkerLoadTracker.Load> loads = new HashMap<>();
        for (WorkerShare share : report.getSharesList()) {
            loads.put(
                    share.getWorker(),
                    new WorkerLoadTracker.Load(
                            share.getRequests(), share.getTokens(), share.getFailurePermille() / PERMILLE));
        }
        ledger.updatePeerLoads(report.getNode(), loads, now);
        report.getPausesList().forEach(p -> ledger.suspendByPeerReport(p.getWorker(), p.getMillis(), now));
        for (ContentCrash crash : report.getCrashesList()) {
            if (crashes.recordCrash(crash.getContent(), crash.getCrash())) {
                LOG.log(
                        Level.INFO,
                        "event=crash_learned content={0} crash={1} from={2}",
                        Long.toHexString(crash.getContent()),
                        crash.getCrash(),
                        report.getNode());
            }
        }
        onReport.accept(report);
    }
}
