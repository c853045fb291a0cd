package org.magnoliavane.systemtest;

import java.nio.file.Path;
import java.util.List;

/**
 * Holds what a deployment may do differently from its example.
 *
 * <p>Immutable; as thread-safe as {@code ports}.
 *
 * @param configurationFile the configuration text that is published at the start
 * @param engineOptions options of engines, beyond those that follow from the configuration
 * @param ports the ports by which nodes reach other processes
 * @param logRetentionMillis the time for which the log service keeps a record
 */
public record DeploymentOptions(
        Path configurationFile, List<String> engineOptions, PortMap ports, long logRetentionMillis) {
    private static final long DEFAULT_LOG_RETENTION_MILLIS = 600_000;

    /**
     * Creates the options of the example.
     *
     * @param size the deployment
     * @return the options
     */
    public static DeploymentOptions of(DeploymentSize size) {
        return new DeploymentOptions(
                size.getConfigurationFile(), List.of(), (kind, port) -> port, DEFAULT_LOG_RETENTION_MILLIS);
    }

    /**
     * Returns a copy with another configuration text.
     *
     * @param file the file
     * @return the copy
     */
    public DeploymentOptions withConfigurationFile(Path file) {
        return new DeploymentOptions(file, engineOptions, ports, logRetentionMillis);
    }

    /**
     * Returns a copy with further options of engines.
     *
     * @param options the options
     * @return the copy
     */
    public DeploymentOptions withEngineOptions(String... options) {
        return new DeploymentOptions(configurationFile, List.of(options), ports, logRetentionMillis);
    }

    /**
     * Returns a copy in which nodes reach other processes by other ports.
     *
     * @param map the ports
     * @return the copy
     */
    public DeploymentOptions withPorts(PortMap map) {
        return new DeploymentOptions(configurationFile, engineOptions, map, logRetentionMillis);
    }

    /**
     * Returns a copy in which the log service keeps records for another time.
     *
     * @param millis the time in milliseconds
     * @return the copy
     */
    public DeploymentOptions withLogRetentionMillis(long millis) {
        return new DeploymentOptions(configurationFile, engineOptions, ports, millis);
    }

    /** Gives the port by which nodes reach a process, for example that of a relay. */
    @FunctionalInterface
    public interface PortMap {
        /**
         * Gets the port for nodes.
         *
         * @param kind {@code log}, {@code vmlist}, {@code peer}, {@code prefill}, {@code decode} or {@code plain}
         * @param port the port on which the process listens
         * @return the port that nodes are told
         */
        int toPort(String kind, int port);
    }
}
