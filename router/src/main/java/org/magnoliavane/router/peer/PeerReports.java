package org.magnoliavane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
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

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.magnoliavane.balance.CrashLedger;
import org.magnoliavane.balance.WorkerLedger;
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
public final class PeerReports implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerReports.class.getName());

    /** Pause between two rounds of reports. */
    private static final long ROUND_MILLIS = 250;

    /** Least pause between reports of changes, for each node that gets them: two nodes may take the same room within it. */
    private static final long CHANGE_MILLIS_PER_NODE = 1;

    /** Number of nodes that get a report in one round, so that the cost of a node does not grow with the fleet. */
    private static final int NODES_IN_ROUND = 16;

    /** Largest number of workers in a report, so that it fits into one packet. */
    private static final int MAX_SHARES = 40;

    /** Number of newest crashes that each report repeats. */
    private static final int MAX_CRASHES = 12;

    private static final double PERMILLE = 1000.0;

    private final NodeListing self;
    private final PeerTable table;
    private final WorkerLedger ledger;
    private final CrashLedger crashes;
    private final LongSupplier millis;
    private final Supplier<NodeReport> state;
    private final Consumer<NodeReport> onReport;
    private final Deque<ContentCrash> newestCrashes = new ArrayDeque<>();
    private final EventLoopGroup group;
    private final Channel channel;
    private final AtomicBoolean changePending = new AtomicBoolean();
    private int position;

    private PeerReports(
            NodeListing self,
            PeerTable table,
            WorkerLedger ledger,
            CrashLedger crashes,
            LongSupplier millis,
            Supplier<NodeReport> state,
            Consumer<NodeReport> onReport) {
        this.self = self;
        this.table = table;
        this.ledger = ledger;
        this.crashes = crashes;
        this.millis = millis;
        this.state = state;
        this.onReport = onReport;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(self.host(), self.peerPort())
                .syncUninterruptibly()
                .channel();
        group.next().scheduleWithFixedDelay(this::sendRound, ROUND_MILLIS, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to send and to take reports.
     *
     * @param self this node
     * @param table the other nodes
     * @param ledger load and health of the workers
     * @param crashes contents that crash workers
     * @param millis a monotonic clock in milliseconds
     * @param state gives the report of this node without loads and crashes
     * @param onReport takes each report of another node
     * @return the running exchange of reports
     */
    public static PeerReports open(
            NodeListing self,
            PeerTable table,
            WorkerLedger ledger,
            CrashLedger crashes,
            LongSupplier millis,
            Supplier<NodeReport> state,
            Consumer<NodeReport> onReport) {
        return new PeerReports(self, table, ledger, crashes, millis, state, onReport);
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

    /** Sends a report soon, because this node has taken or given back room at a worker. */
    public void changed() {
        if (changePending.compareAndSet(false, true)) {
            long pause = CHANGE_MILLIS_PER_NODE
                    * Math.min(NODES_IN_ROUND, table.getListings().size());
            group.next()
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
        group.next().execute(() -> send(table.getListings()));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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
        byte[] report = createReport().toByteArray();
        for (NodeListing node : nodes) {
            if (!node.name().equals(self.name())) {
                channel.write(new DatagramPacket(
                        Unpooled.wrappedBuffer(report), new InetSocketAddress(node.host(), node.peerPort())));
            }
        }
        channel.flush();
    }

    private NodeReport createReport() {
        NodeReport.Builder report = state.get().toBuilder();
        Map<String, WorkerLedger.Load> loads = ledger.getOwnLoads(millis.getAsLong());
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
        if (report.getNode().equals(self.name())) {
            return;
        }
        long now = millis.getAsLong();
        table.heard(report, now);
        Map<String, WorkerLedger.Load> loads = new HashMap<>();
        for (WorkerShare share : report.getSharesList()) {
            loads.put(
                    share.getWorker(),
                    new WorkerLedger.Load(
                            share.getRequests(), share.getTokens(), share.getFailurePermille() / PERMILLE));
        }
        ledger.reportFrom(report.getNode(), loads, now);
        for (ContentCrash crash : report.getCrashesList()) {
            if (crashes.record(crash.getContent(), crash.getCrash())) {
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

    /** Takes datagrams. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                take(NodeReport.parseFrom(ByteBufUtil.getBytes(packet.content())));
            } catch (InvalidProtocolBufferException e) {
                LOG.log(
                        Level.WARNING,
                        "event=report_unreadable sender={0} reason=\"{1}\"",
                        packet.sender(),
                        e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.WARNING, "event=report_failed reason=\"" + cause + '"');
        }
    }
}
