package org.magnoliavane.node.membership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.magnoliavane.BackendServer;
import org.magnoliavane.NodeRun;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.peer.PeerNetwork;

/**
 * Maintains the view of the nodes and backend servers. Polls the VM list; while it cannot be read, the last list that was
 * read stays in force.
 *
 * <p>Thread-safe.
 */
public final class MembershipController implements Supplier<ClusterView>, NodeRunDirectory, AutoCloseable {
    /** The usual delay between two reads of the VM list, in milliseconds. */
    public static final long POLL_MILLIS = 300;

    private static final long NEVER = Long.MIN_VALUE;
    private static final Logger LOG = System.getLogger(MembershipController.class.getName());

    private final NodeAddress self;
    private final VmList vmList;
    private final PeerNetwork network;
    private final Supplier<Configuration> configuration;
    private final AtomicReference<ClusterView> view;
    private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());
    private final Set<String> everListed = ConcurrentHashMap.newKeySet();
    private final List<Consumer<ClusterView>> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, NodeRun> knownRuns = new HashMap<>();
    private final AtomicLong lastRunEndNanos = new AtomicLong(NEVER);
    private final Map<String, CompletableFuture<NodeRun>> runFetches = new ConcurrentHashMap<>();
    private final AtomicBoolean vmListRead = new AtomicBoolean();
    private final AtomicBoolean shuttingDown = new AtomicBoolean();
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final AtomicBoolean vmListFailing = new AtomicBoolean();
    private final ScheduledThreadPoolExecutor executor;

    private MembershipController(
            NodeAddress self, VmList vmList, PeerNetwork network, Supplier<Configuration> configuration) {
        this.self = self;
        this.vmList = vmList;
        this.network = network;
        this.configuration = configuration;
        view = new AtomicReference<>(new ClusterView(self, List.of(self), List.of()));
        executor = DaemonTimers.open("membership", 1);
    }

    /**
     * Starts a controller.
     *
     * @param self the address of this node
     * @param vmList the source of the VM list
     * @param network the connections to the other nodes
     * @param configuration the source of the configuration in force
     * @param pollMillis the delay between two reads of the VM list, in milliseconds
     * @return the controller
     */
    public static MembershipController start(
            NodeAddress self,
            VmList vmList,
            PeerNetwork network,
            Supplier<Configuration> configuration,
            long pollMillis) {
        MembershipController controller = new MembershipController(self, vmList, network, configuration);
        network.setChangeListener(controller::scheduleRefresh);
        controller.executor.scheduleWithFixedDelay(controller::poll, 0, pollMillis, TimeUnit.MILLISECONDS);
        return controller;
    }

    @Override
    public ClusterView get() {
        return view.get();
    }

    /**
     * Returns whether the VM list has been read at least once.
     *
     * @return true if the view is based on a VM list
     */
    public boolean hasReadVmList() {
        return vmListRead.get();
    }

    /**
     * Adds a listener for changes of the view.
     *
     * @param listener the listener, which is called with each changed view on the thread of the controller and must not
     *     block
     */
    public void addListener(Consumer<ClusterView> listener) {
        listeners.add(listener);
    }

    /** Marks this node as shutting down and notifies its peers, so that callers are no longer directed to it. */
    public void startShutdown() {
        shuttingDown.set(true);
        scheduleRefresh();
        network.sendHeartbeats();
    }

    @Override
    public CompletionStage<NodeRunState> getState(NodeRun run) {
        if (run.node().equals(self.run().node())) {
            return CompletableFuture.completedFuture(run.equals(self.run()) ? NodeRunState.LIVE : NodeRunState.GONE);
        }
        if (network.findRun(run.node()).filter(run::equals).isPresent()) {
            return CompletableFuture.completedFuture(NodeRunState.LIVE);
        }
        if (!isInVmList(run.node())) {
            // A node that was never listed may be new, because the VM list lags behind.
            NodeRunState state = everListed.contains(run.node()) ? NodeRunState.GONE : NodeRunState.UNREACHABLE;
            return CompletableFuture.completedFuture(state);
        }
        return fetchRun(run.node()).handle((found, cause) -> {
            if (cause != null || !found.node().equals(run.node())) {
                return NodeRunState.UNREACHABLE;
            }
            return found.equals(run) ? NodeRunState.LIVE : NodeRunState.GONE;
        });
    }

    @Override
    public List<String> getListedNodes() {
        return listPeers(vms.get()).stream().map(peer -> peer.run().node()).toList();
    }

    @Override
    public long getMillisSinceLastRunEnd() {
        long endNanos = lastRunEndNanos.get();
        return endNanos == NEVER ? Long.MAX_VALUE : (System.nanoTime() - endNanos) / 1_000_000;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Fetches the current run of a node. Concurrent requests share one fetch, so that requests with an outdated run
     * cause only one at a time. A result is not cached, because the node may have been restarted since.
     */
    private CompletableFuture<NodeRun> fetchRun(String node) {
        return runFetches.compute(
                node,
                (key, last) -> last != null && !last.isDone()
                        ? last
                        : network.fetchRun(node).toCompletableFuture());
    }

    private boolean isInVmList(String node) {
        return vms.get().stream().anyMatch(vm -> vm.id().equals(node));
    }

    private void scheduleRefresh() {
        if (!executor.isShutdown()) {
            executor.execute(this::refresh);
        }
    }

    private void poll() {
        refresh();
        if (!fetching.compareAndSet(false, true)) {
            return;
        }
        vmList.fetch().whenComplete((list, cause) -> {
            fetching.set(false);
            if (cause == null) {
                applyVmList(list);
            } else if (vmListFailing.compareAndSet(false, true)) {
                LOG.log(
                        Level.WARNING,
                        "The VM list cannot be read; the last one stays in force. Remedy: check the VM list and the"
                                + " network path to it. Cause: {0}",
                        cause.getMessage());
            }
        });
    }

    private void applyVmList(List<Vm> list) {
        if (vmListFailing.compareAndSet(true, false)) {
            LOG.log(Level.INFO, "The VM list can be read again.");
        }
        vms.set(list);
        list.stream().filter(vm -> toNode(vm).isPresent()).forEach(vm -> everListed.add(vm.id()));
        vmListRead.set(true);
        scheduleRefresh();
    }

    private void refresh() {
        try {
            List<Vm> list = vms.get();
            network.setPeers(listPeers(list));
            ClusterView next = buildView(list);
            recordEndedRuns(list, next);
            ClusterView previous = view.get();
            if (!next.equals(previous)) {
                view.set(next);
                logChanges(previous, next);
                listeners.forEach(listener -> listener.accept(next));
            }
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "The view cannot be updated; the last one stays in force.", e);
        }
    }

    private static void logChanges(ClusterView previous, ClusterView next) {
        for (NodeAddress node : next.nodes()) {
            if (previous.findNode(node.run().node()).isEmpty()) {
                LOG.log(Level.INFO, "Node {0} was added to the view.", node.run());
            }
        }
        for (NodeAddress node : previous.nodes()) {
            if (next.findNode(node.run().node()).isEmpty()) {
                LOG.log(
                        Level.WARNING,
                        "Node {0} was removed from the view: it has stopped or is unreachable.",
                        node.run());
            }
        }
    }

    private void recordEndedRuns(List<Vm> list, ClusterView next) {
        boolean ended = false;
        for (NodeAddress node : next.nodes()) {
            NodeRun previous = knownRuns.put(node.run().node(), node.run());
            ended |= previous != null && !previous.equals(node.run());
        }
        Set<String> listedNodes = new HashSet<>();
        list.forEach(vm -> listedNodes.add(vm.id()));
        listedNodes.add(self.run().node());
        ended |= knownRuns.keySet().retainAll(listedNodes);
        runFetches.keySet().retainAll(listedNodes);
        if (ended) {
            lastRunEndNanos.set(System.nanoTime());
        }
    }

    private List<NodeAddress> listPeers(List<Vm> list) {
        List<NodeAddress> peers = new ArrayList<>();
        for (Vm vm : list) {
            if (!vm.id().equals(self.run().node())) {
                toNode(vm).ifPresent(peers::add);
            }
        }
        return peers;
    }

    private ClusterView buildView(List<Vm> list) {
        Configuration current = configuration.get();
        NodeAddress own = withLeaving(self, isSelfShuttingDown(list, current));
        List<NodeAddress> nodes = new ArrayList<>();
        nodes.add(own);
        for (NodeAddress peer : listPeers(list)) {
            network.findRun(peer.run().node()).ifPresent(run -> nodes.add(withRun(peer, run, current)));
        }
        List<BackendServer> servers = new ArrayList<>();
        for (Vm vm : list) {
            toServer(vm, current.drainedWorkers()).ifPresent(servers::add);
        }
        return new ClusterView(own, List.copyOf(nodes), List.copyOf(servers));
    }

    private boolean isSelfShuttingDown(List<Vm> list, Configuration current) {
        String node = self.run().node();
        return shuttingDown.get()
                || current.drainedNodes().contains(node)
                || list.stream().anyMatch(vm -> vm.id().equals(node) && vm.isLeaving());
    }

    private NodeAddress withRun(NodeAddress peer, NodeRun run, Configuration current) {
        boolean leaving = peer.leaving()
                || network.isShuttingDown(run.node())
                || current.drainedNodes().contains(run.node());
        return new NodeAddress(
                run, peer.host(), peer.callerPort(), peer.peerPort(), peer.operatorPort(), peer.zone(), leaving);
    }

    private static NodeAddress withLeaving(NodeAddress node, boolean leaving) {
        return new NodeAddress(
                node.run(), node.host(), node.callerPort(), node.peerPort(), node.operatorPort(), node.zone(), leaving);
    }

    private static Optional<NodeAddress> toNode(Vm vm) {
        if (!"entry".equals(vm.tags().get("role")) || vm.findPort("peer_port").isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new NodeAddress(
                new NodeRun(vm.id(), 0),
                vm.address(),
                vm.findPort("caller_port").orElse(0),
                vm.findPort("peer_port").orElse(0),
                vm.findPort("operator_port").orElse(0),
                vm.zone(),
                vm.isLeaving()));
    }

    private static Optional<BackendServer> toServer(Vm vm, Set<String> drained) {
        String service = vm.tags().get("service");
        Optional<WorkerRole> role =
                Optional.ofNullable(vm.tags().get("worker_role")).flatMap(WorkerRole::parse);
        if (!"backend".equals(vm.tags().get("role"))
                || service == null
                || role.isEmpty()
                || vm.findPort("port").isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new BackendServer(
                vm.id(),
                service,
                role.get(),
                vm.address(),
                vm.findPort("port").get(),
                vm.zone(),
                vm.isLeaving() || drained.contains(vm.id())));
    }
}
