package org.magnoliavane.node.peer;

import org.magnoliavane.protocol.generated.Heartbeat;

/**
 * Creates the heartbeats of one connection. Heartbeats to all nodes of a region are most of the traffic of an idle node,
 * so each tells only what changed, and the configuration version now and then.
 *
 * <p>Thread-safe.
 */
final class HeartbeatWriter {
    /** Lets a peer that failed to fetch a version try again after 5 s. */
    private static final int VERSION_EVERY = 10;

    private long sequence;
    private long version;
    private int beats;

    synchronized Heartbeat next(HeartbeatSource source) {
        Heartbeat.Builder beat = Heartbeat.newBuilder().setLeaving(source.isLeaving());
        long current = source.getConfigurationVersion();
        if (current != version || beats % VERSION_EVERY == 0) {
            version = current;
            beat.setConfigurationVersion(current).setConfigurationHash(source.getConfigurationHash());
        }
        beats++;
        long newest = source.getVerdictSequence();
        beat.addAllVerdicts(source.getVerdictsAfter(sequence));
        sequence = newest;
        return beat.build();
    }
}
