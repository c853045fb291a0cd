package org.magnoliavane.node.membership;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.node.peer.ConfigurationPeers;
import org.magnoliavane.node.peer.HeartbeatSource;
import org.magnoliavane.node.placement.PoisonRegistry;
import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Gathers what heartbeats tell from the parts of a node.
 *
 * <p>Thread-safe. The parts are created after the network, so the view and the configuration are set later.
 */
public final class NodeHeartbeat implements HeartbeatSource {
    private final PoisonRegistry poison;
    private final AtomicReference<Supplier<Optional<ClusterView>>> viewSource = new AtomicReference<>(Optional::empty);
    private final AtomicReference<Supplier<Optional<ConfigurationVersion>>> configurationSource =
            new AtomicReference<>(Optional::empty);
    private final AtomicReference<ConfigurationHash> lastHash = new AtomicReference<>(new ConfigurationHash(0, 0));

    /**
     * Creates the source.
     *
     * @param poison the poison verdicts of this node
     */
    public NodeHeartbeat(PoisonRegistry poison) {
        this.poison = poison;
    }

    /**
     * Sets where the view comes from.
     *
     * @param source provides the view
     */
    public void setViewSource(Supplier<ClusterView> source) {
        viewSource.set(() -> Optional.of(source.get()));
    }

    /**
     * Sets where the configuration comes from.
     *
     * @param source provides the version in force
     */
    public void setConfigurationSource(Supplier<Optional<ConfigurationVersion>> source) {
        configurationSource.set(source);
    }

    @Override
    public boolean isLeaving() {
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
        ConfigurationHash known = lastHash.get();
        if (known.version != current.get().version()) {
            known = new ConfigurationHash(current.get().version(), ConfigurationPeers.computeHash(current.get()));
            lastHash.set(known);
        }
        return known.hash;
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
