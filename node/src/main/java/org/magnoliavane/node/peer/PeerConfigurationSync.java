package org.magnoliavane.node.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import net.openhft.hashing.LongHashFunction;
import org.magnoliavane.NodeRun;
import org.magnoliavane.node.configuration.ConfigurationExchange;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.protocol.generated.ConfigurationRequest;
import org.magnoliavane.protocol.generated.ConfigurationSnapshot;
import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Heartbeat;

/**
 * Fetches the configuration from a peer that has a newer version, and provides it to peers that request it.
 *
 * <p>Thread-safe.
 */
public final class PeerConfigurationSync {
    private static final Logger LOG = System.getLogger(PeerConfigurationSync.class.getName());
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final long TIMEOUT_MILLIS = 2000;

    /** Keeps a snapshot below the maximum frame size even when each character takes three bytes. */
    private static final int MAX_CHARACTERS = 340_000;

    private final Peers peers;
    private final ConfigurationExchange exchange;
    private final Set<String> reportedMismatches = ConcurrentHashMap.newKeySet();
    private final Set<String> pendingNodes = ConcurrentHashMap.newKeySet();

    private PeerConfigurationSync(Peers peers, ConfigurationExchange exchange) {
        this.peers = peers;
        this.exchange = exchange;
    }

    /**
     * Connects the exchange to the network.
     *
     * @param network the network
     * @param exchange provides and accepts the configuration of this node
     * @return the created instance
     */
    public static PeerConfigurationSync connect(PeerNetwork network, ConfigurationExchange exchange) {
        PeerConfigurationSync result = new PeerConfigurationSync(network, exchange);
        network.setHandler(Frame.BodyCase.CONFIGURATION_REQUEST, result::handleRequest);
        network.setHeartbeatListener(result::onHeartbeat);
        return result;
    }

    /**
     * Computes the configuration hash that is sent in heartbeats.
     *
     * @param version the configuration version
     * @return the hash of its TOML source
     */
    public static long computeHash(ConfigurationVersion version) {
        return HASH.hashChars(version.text());
    }

    private long getVersion() {
        return exchange.findCurrent().map(ConfigurationVersion::version).orElse(0L);
    }

    private void handleRequest(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        long known = frame.getConfigurationRequest().getVersion();
        ConfigurationSnapshot.Builder snapshot = ConfigurationSnapshot.newBuilder();
        Optional<ConfigurationVersion> current =
                exchange.findCurrent().filter(candidate -> candidate.version() > known);
        if (current.isPresent() && current.get().text().length() > MAX_CHARACTERS) {
            LOG.log(
                    Level.ERROR,
                    "Configuration version {0} is too long to be sent to node {1}. Remedy: keep the TOML source below"
                            + " {2} characters, or wait until the node reads it from the log service.",
                    current.get().version(),
                    from.node(),
                    MAX_CHARACTERS);
            current = Optional.empty();
        }
        current.ifPresent(version -> snapshot.setVersion(version.version())
                .setOffset(version.offset())
                .setText(version.text()));
        reply.accept(Frame.newBuilder().setConfigurationSnapshot(snapshot));
    }

    private void onHeartbeat(String node, Heartbeat heartbeat) {
        long version = heartbeat.getConfigurationVersion();
        Optional<ConfigurationVersion> current = exchange.findCurrent();
        boolean differs = current.isPresent()
                && current.get().version() == version
                && computeHash(current.get()) != heartbeat.getConfigurationHash();
        if (differs && reportedMismatches.add(node + "/" + version)) {
            LOG.log(
                    Level.ERROR,
                    "Node {0} has a different TOML source for configuration version {1}. Remedy: publish a new version.",
                    node,
                    version);
        }
        fetchIfNewer(node, version);
    }

    private void fetchIfNewer(String node, long version) {
        if (version <= getVersion() || !pendingNodes.add(node)) {
            return;
        }
        Frame.Builder request = Frame.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setVersion(getVersion()));
        peers.sendRequest(node, request, TIMEOUT_MILLIS).whenComplete((reply, cause) -> {
            pendingNodes.remove(node);
            if (cause == null && reply.getConfigurationSnapshot().getVersion() > 0) {
                applySnapshot(reply.getConfigurationSnapshot());
            }
        });
    }

    private void applySnapshot(ConfigurationSnapshot snapshot) {
        exchange.offer(new ConfigurationVersion(snapshot.getVersion(), snapshot.getOffset(), snapshot.getText()));
    }
}
