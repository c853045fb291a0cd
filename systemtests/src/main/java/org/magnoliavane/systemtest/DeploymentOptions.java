package org.magnoliavane.systemtest;

import java.nio.file.Path;
import java.util.List;

/**
 * Holds the options of a deployment that may differ from its example.
 *
 * <p>Immutable; thread-safe if {@code ports} is.
 *
 * @param configurationFile the file with the configuration that is published at the start
 * @param engineOptions the command-line options of engines beyond those that follow from the configuration
 * @param ports the mapping to the ports by which nodes reach other processes
 * @param logRetentionMillis the time for which the log service keeps a record, in milliseconds
 */
public record DeploymentOptions(
        Path configurationFile, List<String> engineOptions, PortMapping ports, long logRetentionMillis) {
    private static final long DEFAULT_LOG_RETENTION_MILLIS = 600_000;

    /**
     * Creates the options of the example: its configuration, direct ports, a log retention of 10 minutes.
     *
     * @param spec the specification of the deployment
     * @return the options
     */
    public static DeploymentOptions of(DeploymentSpec spec) {
        return new DeploymentOptions(
                spec.getConfigurationFile(), List.of(), (kind, port) -> port, DEFAULT_LOG_RETENTION_MILLIS);
    }

    /**
     * Returns a copy with another configuration file.
     *
     * @param file the file
     * @return the copy
     */
    public DeploymentOptions withConfigurationFile(Path file) {
        return new DeploymentOptions(file, engineOptions, ports, logRetentionMillis);
    }

    /**
     * Returns a copy with the given options of engines.
     *
     * @param options the command-line options
     * @return the copy
     */
    public DeploymentOptions withEngineOptions(String... options) {
        return new DeploymentOptions(configurationFile, List.of(options), ports, logRetentionMillis);
    }

    /**
     * Returns a copy in which nodes reach other processes by mapped ports.
     *
     * @param mapping the mapping of ports
     * @return the copy
     */
    public DeploymentOptions withPorts(PortMapping mapping) {
        return new DeploymentOptions(configurationFile, engineOptions, mapping, logRetentionMillis);
    }

    /**
     * Returns a copy with another log retention.
     *
     * @param millis the time for which the log service keeps a record, in milliseconds
     * @return the copy
     */
    public DeploymentOptions withLogRetentionMillis(long millis) {
        return new DeploymentOptions(configurationFile, engineOptions, ports, millis);
    }

    /** Maps the port of a process to the port by which nodes reach it, for example that of a relay. */
    @FunctionalInterface
    public interface PortMapping {
        /**
         * Returns the port by which nodes reach a process.
         *
         * @param kind {@code log}, {@code vmlist}, {@code peer}, {@code prefill}, {@code decode} or {@code plain}
         * @param port the port on which the process listens
         * @return the port that is given to nodes
         */
        int mapPort(String kind, int port);
    }
}
