package org.magnoliavane.node.peer;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.magnoliavane.NodeRun;
import org.magnoliavane.node.configuration.ConfigurationExchange;
import org.magnoliavane.node.configuration.VersionedText;
import org.magnoliavane.protocol.generated.ConfigurationRequest;
import org.magnoliavane.protocol.generated.ConfigurationSnapshot;
import org.magnoliavane.protocol.generated.Frame;

/**
 * Fetches the configuration from a peer that has a newer version, and hands it to peers that ask.
 *
 * <p>Thread-safe.
 */
public final class ConfigurationPeers {
    private static final long TIMEOUT_MILLIS = 2000;

    private final Peers peers;
    private final ConfigurationExchange exchange;
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
        network.setOnVersion(result::onVersion);
        return result;
    }

    private long getVersion() {
        return exchange.findCurrent().map(VersionedText::version).orElse(0L);
    }

    private void answer(NodeRun from, Frame frame, Consumer<Frame.Builder> reply) {
        long known = frame.getConfigurationRequest().getVersion();
        ConfigurationSnapshot.Builder snapshot = ConfigurationSnapshot.newBuilder();
        Optional<VersionedText> current = exchange.findCurrent().filter(text -> text.version() > known);
        current.ifPresent(text ->
                snapshot.setVersion(text.version()).setOffset(text.offset()).setText(text.text()));
        reply.accept(Frame.newBuilder().setConfigurationSnapshot(snapshot));
    }

    private void onVersion(String node, long version) {
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
        exchange.offer(new VersionedText(snapshot.getVersion(), snapshot.getOffset(), snapshot.getText()));
    }
}
