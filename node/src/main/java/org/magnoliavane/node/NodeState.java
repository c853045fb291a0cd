package org.magnoliavane.node;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import net.openhft.hashing.LongHashFunction;
import org.magnoliavane.node.configuration.ConfigurationExchange;
import org.magnoliavane.node.configuration.VersionedText;
import org.magnoliavane.node.peer.HeartbeatSource;
import org.magnoliavane.node.placement.PoisonRegistry;
import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Tells the peers, by heartbeat, the state of this node.
 *
 * <p>Thread-safe.
 */
final class NodeState implements HeartbeatSource {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final ConfigurationExchange configuration;
    private final PoisonRegistry poison;
    private final AtomicBoolean leaving = new AtomicBoolean();

    NodeState(ConfigurationExchange configuration, PoisonRegistry poison) {
        this.configuration = configuration;
        this.poison = poison;
    }

    void startLeaving() {
        leaving.set(true);
    }

    @Override
    public boolean isLeaving() {
        return leaving.get();
    }

    @Override
    public long getConfigurationVersion() {
        return configuration.findCurrent().map(VersionedText::version).orElse(0L);
    }

    @Override
    public long getConfigurationHash() {
        return configuration
                .findCurrent()
                .map(text -> HASH.hashChars(text.text()))
                .orElse(0L);
    }

    @Override
    public long getVerdictSequence() {
        return poison.getSequence();
    }

    @Override
    public List<PoisonVerdict> getVerdictsAfter(long sequence) {
        return poison.getChangesAfter(sequence);
    }
}
