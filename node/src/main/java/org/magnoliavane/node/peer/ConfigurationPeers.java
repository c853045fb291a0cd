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
 * Fetches the configuration from a peer that has a newer version, and hands it to peers that ask.
 *
 * <p>Thread-safe.
 */
public final class ConfigurationPeers {
    private static final Logger LOG = System.getLogger(ConfigurationPeers.class.getName());
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final long TIMEOUT_MILLIS = 2000;

    /** Keeps a snapshot below the largest frame, also when every character takes three bytes. */
    private static final int MAX_CHARACTERS = 340_000;

    private final Peers peers;
    private final ConfigurationExchange exchange;
    private final Set<String> warned = ConcurrentHashMap.newKeySet();
    private final Set<String> asking = ConcurrentHashMap.newKeySet();

    private ConfigurationPeers(Peers peers, ConfigurationExchange exchange) {
        this.peers = peers;
        this.exchange = exchange;
    }

    /**
     * Connects the exchange to the network.
     *
     * @param network the network
     * @param exchange the exchange of this node
     * @return the connected object
     */
    public static ConfigurationPeers connect(PeerNetwork network, ConfigurationExchange exchange) {
        ConfigurationPeers result = new ConfigurationPeers(network, exchange);
        network.handle(Frame.BodyCase.CONFIGURATION_REQUEST, result::answer);
        network.setOnHeartbeat(result::onHeartbeat);
        return result;
    }

    /**
     * Computes the hash that heartbeats carry.
     *
     * @param text the version
     * @return the hash of its text
     */
    public static long computeHash(ConfigurationVersion text) {
        return HASH.hashChars(text.text());
    }

    private long getVersion() {
        return exchange.findCurrent().map(ConfigurationVersion::version).orElse(0L);
    }

    private void answer(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        long known = frame.getConfigurationRequest().getVersion();
        ConfigurationSnapshot.Builder snapshot = ConfigurationSnapshot.newBuilder();
        Optional<ConfigurationVersion> current = exchange.findCurrent().filter(text -> text.version() > known);
        if (current.isPresent() && current.get().text().length() > MAX_CHARACTERS) {
            LOG.log(
                    Level.ERROR,
                    "Configuration version {0} is too long for node {1} to fetch it here. Remedy: keep the text below"
                            + " {2} characters, or wait for the log service.",
                    current.get().version(),
                    from.node(),
                    MAX_CHARACTERS);
            current = Optional.empty();
        }
        current.ifPresent(text ->
                snapshot.setVersion(text.version()).setOffset(text.offset()).setText(text.text()));
        reply.accept(Frame.newBuilder().setConfigurationSnapshot(snapshot));
    }

    private void onHeartbeat(String node, Heartbeat beat) {
        long version = beat.getConfigurationVersion();
        Optional<ConfigurationVersion> current = exchange.findCurrent();
        boolean differs = current.isPresent()
                && current.get().version() == version
                && computeHash(current.get()) != beat.getConfigurationHash();
        if (differs && warned.add(node + "/" + version)) {
            LOG.log(
                    Level.ERROR,
                    "Node {0} has another text of configuration version {1}. Remedy: publish a new version.",
                    node,
                    version);
        }
        ask(node, version);
    }

    private void ask(String node, long version) {
        if (version <= getVersion() || !asking.add(node)) {
            return;
        }
        Frame.Builder request = Frame.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setVersion(getVersion()));
        peers.call(node, request, TIMEOUT_MILLIS).whenComplete((reply, cause) -> {
            asking.remove(node);
            if (cause == null && reply.getConfigurationSnapshot().getVersion() > 0) {
                take(reply.getConfigurationSnapshot());
            }
        });
    }

    private void take(ConfigurationSnapshot snapshot) {
        exchange.offer(new ConfigurationVersion(snapshot.getVersion(), snapshot.getOffset(), snapshot.getText()));
    }
}
