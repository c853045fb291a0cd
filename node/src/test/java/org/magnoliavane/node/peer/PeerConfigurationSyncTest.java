package org.magnoliavane.node.peer;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.magnoliavane.NodeRun;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.configuration.ConfigurationExchange;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.node.membership.NodeHeartbeat;
import org.magnoliavane.node.membership.TestCluster;
import org.magnoliavane.node.placement.PoisonRegistry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class PeerConfigurationSyncTest {

    /** Guards against a new node that gets no configuration during an outage of the log service. */
    @Test
    public void aNodeFetchesANewerConfigurationVersionFromAPeer() throws Exception {
        Exchange old = new Exchange();
        Exchange current = new Exchange();
        current.offer(new ConfigurationVersion(7, 41, "services"));
        try (PeerNetwork first = connect("entry-1", old);
                PeerNetwork second = connect("entry-2", current)) {
            first.listen("127.0.0.1", 0);
            int port = second.listen("127.0.0.1", 0);
            first.setPeers(
                    java.util.List.of(new NodeAddress(new NodeRun("entry-2", 0), "127.0.0.1", 0, port, 0, "a", false)));
            TestCluster.await(() -> old.findCurrent().isPresent());
            assertEquals(old.findCurrent().get(), new ConfigurationVersion(7, 41, "services"));
        }
    }

    private static PeerNetwork connect(String node, Exchange exchange) {
        NodeHeartbeat heartbeat = new NodeHeartbeat(new PoisonRegistry());
        heartbeat.setConfigurationSource(exchange::findCurrent);
        PeerNetwork network = PeerNetwork.create("test", new NodeRun(node, 1), "a", heartbeat);
        PeerConfigurationSync.connect(network, exchange);
        return network;
    }

    /** Keeps the latest version in memory. */
    private static final class Exchange implements ConfigurationExchange {
        private final AtomicReference<ConfigurationVersion> current = new AtomicReference<>();

        @Override
        public Optional<ConfigurationVersion> findCurrent() {
            return Optional.ofNullable(current.get());
        }

        @Override
        public void offer(ConfigurationVersion version) {
            current.updateAndGet(known -> known != null && known.version() >= version.version() ? known : version);
        }
    }
}
