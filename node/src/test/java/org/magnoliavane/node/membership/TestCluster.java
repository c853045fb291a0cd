package org.magnoliavane.node.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.magnoliavane.NodeRun;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.Limits;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.Service;
import org.magnoliavane.config.ServiceKind;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.node.peer.PeerNetwork;
import org.magnoliavane.node.placement.PoisonRegistry;

/** Runs the membership controllers of several nodes on loopback, with a VM list in memory. */
public final class TestCluster implements AutoCloseable {
    public static final String SERVICE = "briefings";

    private static final String HOST = "127.0.0.1";

    private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());
    private final AtomicReference<Configuration> configuration = new AtomicReference<>(configure(Set.of()));
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private volatile boolean vmListDown;

    /** Starts a node after {@code handlers} has registered its handlers, which must precede listening. */
    public Member start(String node, long run, Consumer<Member> handlers) {
        Member member = new Member(new NodeRun(node, run));
        handlers.accept(member);
        int port = member.network.listen(HOST, 0);
        Vm vm = new Vm(
                node, HOST, "a", "live", Map.of("role", "entry", "peer_port", "" + port, "caller_port", "" + port));
        replace(vm);
        NodeAddress address = new NodeAddress(member.run, HOST, port, port, 0, "a", false);
        member.controller = MembershipController.start(address, this::fetch, member.network, configuration::get, 50);
        member.heartbeat.setViewSource(member.controller);
        members.add(member);
        return member;
    }

    public void addWorker(String id, String role, String state) {
        replace(new Vm(
                id, HOST, "a", state, Map.of("role", "backend", "service", SERVICE, "port", "9", "worker_role", role)));
    }

    public void remove(String id) {
        vms.updateAndGet(list -> list.stream().filter(vm -> !vm.id().equals(id)).toList());
    }

    public void setVmListDown(boolean down) {
        vmListDown = down;
    }

    public void drain(String worker) {
        configuration.set(configure(Set.of(worker)));
    }

    public Configuration getConfiguration() {
        return configuration.get();
    }

    public void awaitNodes(int count) throws InterruptedException {
        await(() -> members.stream().allMatch(m -> m.controller.get().nodes().size() == count));
    }

    public void stop(Member member) {
        members.remove(member);
        member.close();
    }

    public static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(6);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition did not become true within 6 s");
            }
            Thread.sleep(5);
        }
    }

    @Override
    public void close() {
        members.forEach(Member::close);
    }

    private CompletableFuture<List<Vm>> fetch() {
        return vmListDown
                ? CompletableFuture.failedFuture(new java.io.IOException("outage"))
                : CompletableFuture.completedFuture(vms.get());
    }

    private void replace(Vm vm) {
        vms.updateAndGet(list -> {
            Map<String, Vm> byId = new LinkedHashMap<>();
            list.forEach(old -> byId.put(old.id(), old));
            byId.put(vm.id(), vm);
            return new ArrayList<>(byId.values());
        });
    }

    private static Configuration configure(Set<String> drained) {
        ModelSettings model = new ModelSettings(List.of("m"), 2048, 20, 10_000, 30, 100_000, 800, 100, 1000, 0.5);
        Service service = new Service(SERVICE, ServiceKind.MODEL, List.of(), true, Optional.of(model), List.of());
        Limits limits = new Limits(1 << 20, 100_000, 30, 300, 10);
        return new Configuration(1, Map.of(SERVICE, service), Map.of(), "", Map.of(), limits, Set.of(), drained);
    }

    /** Holds the components of one node. */
    public static final class Member implements AutoCloseable {
        private final NodeRun run;
        private final PoisonRegistry poison = new PoisonRegistry();
        private final NodeHeartbeat heartbeat;
        private final PeerNetwork network;
        private volatile MembershipController controller;

        Member(NodeRun run) {
            this.run = run;
            heartbeat = new NodeHeartbeat(poison);
            heartbeat.setConfigurationSource(() -> Optional.of(new ConfigurationVersion(1, 0, "text")));
            network = PeerNetwork.create("test", run, "a", heartbeat);
        }

        public NodeRun getRun() {
            return run;
        }

        public PoisonRegistry getPoison() {
            return poison;
        }

        public PeerNetwork getNetwork() {
            return network;
        }

        public MembershipController getController() {
            return controller;
        }

        /** Gets a run directory that can be passed on before the controller is started. */
        public NodeRunDirectory getDirectory() {
            return new NodeRunDirectory() {
                @Override
                public java.util.concurrent.CompletionStage<NodeRunState> getState(NodeRun asked) {
                    return controller.getState(asked);
                }

                @Override
                public List<String> getListedNodes() {
                    return controller.getListedNodes();
                }

                @Override
                public long getMillisSinceLastRunEnd() {
                    return controller.getMillisSinceLastRunEnd();
                }
            };
        }

        @Override
        public void close() {
            controller.close();
            network.close();
        }
    }
}
