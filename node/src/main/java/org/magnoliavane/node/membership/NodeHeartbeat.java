package org.magnoliavane.node.membership;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.node.peer.HeartbeatSource;
import org.magnoliavane.node.peer.PeerConfigurationSync;
import org.magnoliavane.node.placement.PoisonRegistry;
import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Provides the contents of heartbeats from the components of a node.
 *
 * <p>Thread-safe. The sources of the view and of the configuration are created after the network, so they are set later.
 */
public final class NodeHeartbeat implements HeartbeatSource {
    private final PoisonRegistry poison;
    private final AtomicReference<Supplier<Optional<ClusterView>>> viewSource = new AtomicReference<>(Optional::empty);
    private final AtomicReference<Supplier<Optional<ConfigurationVersion>>> configurationSource =
            new AtomicReference<>(Optional::empty);
    private final AtomicReference<ConfigurationHash> lastHash = new AtomicReference<>(new ConfigurationHash(0, 0));

    /**
     * Creates an instance without a view and without a configuration.
     *
     * @param poison the poison verdicts of this node
     */
    public NodeHeartbeat(PoisonRegistry poison) {
        this.poison = poison;
    }

    /**
     * Sets the source of the cluster view.
     *
     * @param source the source
     */
    public void setViewSource(Supplier<ClusterView> source) {
        viewSource.set(() -> Optional.of(source.get()));
    }

    /**
     * Sets the source of the configuration.
     *
     * @param source the source, which provides the version in force; empty while there is none
     */
    public void setConfigurationSource(Supplier<Optional<ConfigurationVersion>> source) {
        configurationSource.set(source);
    }

    @Override
    public boolean isShuttingDown() {
        return viewSource.get().get().map(v -> v.self().leaving()).orElse(false);
    }

    @Override
    public long getConfigurationVersion() {
        return configurationSource
                .get()
                .get()
                .map(ConfigurationVersion::version)
                .orElse(0L);
    }

    @Override
    public long getConfigurationHash() {
        Optional<ConfigurationVersion> current = configurationSource.get().get();
        if (current.isEmpty()) {
            return 0;
        }
        ConfigurationHash hash = lastHash.get();
        if (hash.version != current.get().version()) {
            hash = new ConfigurationHash(current.get().version(), PeerConfigurationSync.computeHash(current.get()));
            lastHash.set(hash);
        }
        return hash.hash;
    }

    @Override
    public long getVerdictSequence() {
        return poison.getSequence();
    }

    @Override
    public List<PoisonVerdict> getVerdictsAfter(long sequence) {
        return poison.getChangesAfter(sequence);
    }

    private record ConfigurationHash(long version, long hash) {}
}
