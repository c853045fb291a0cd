package org.magnoliavane.node.peer;

import org.magnoliavane.protocol.generated.Heartbeat;

/**
 * Creates the heartbeats of one connection. A heartbeat contains only what has changed since the previous one, and the
 * configuration version at intervals, because heartbeats to all nodes of a region are most of the traffic of an idle
 * node.
 *
 * <p>Thread-safe.
 */
final class HeartbeatWriter {
    /** With one heartbeat each 500 ms, a peer that failed to fetch a version tries again after 5 s. */
    private static final int HEARTBEATS_PER_VERSION = 10;

    private long sentVerdictSequence;
    private long sentVersion;
    private int heartbeatCount;

    synchronized Heartbeat createHeartbeat(HeartbeatSource source) {
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setLeaving(source.isShuttingDown());
        long currentVersion = source.getConfigurationVersion();
        if (currentVersion != sentVersion || heartbeatCount % HEARTBEATS_PER_VERSION == 0) {
            sentVersion = currentVersion;
            heartbeat.setConfigurationVersion(currentVersion).setConfigurationHash(source.getConfigurationHash());
        }
        heartbeatCount++;
        long latestVerdictSequence = source.getVerdictSequence();
        heartbeat.addAllVerdicts(source.getVerdictsAfter(sentVerdictSequence));
        sentVerdictSequence = latestVerdictSequence;
        return heartbeat.build();
    }
}
