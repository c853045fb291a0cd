package org.magnoliavane.systemtest;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Describes a deployment: its processes and availability zones, and the services, paths and key that its callers use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the deployment; its configuration is {@code examples/<name>.toml}
 * @param zones the availability zones, to which the processes are assigned in turn
 * @param nodes the number of entry VMs
 * @param prefillWorkers the number of prefill workers
 * @param decodeWorkers the number of decode workers
 * @param plainWorkers the number of workers of the plain service
 * @param modelService the name of the model service
 * @param models the models that the workers have loaded
 * @param plainService the name of the plain service
 * @param bearerKey the bearer key of a caller in the configuration
 * @param bookingPath the path of a non-idempotent route
 * @param lookupPath the path of an idempotent route
 */
public record DeploymentSpec(
        String name,
        List<String> zones,
        int nodes,
        int prefillWorkers,
        int decodeWorkers,
        int plainWorkers,
        String modelService,
        List<String> models,
        String plainService,
        String bearerKey,
        String bookingPath,
        String lookupPath) {

    /** The root directory of the project, seen from there or from the directory of a module, where its tests run. */
    static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");

    /**
     * Creates the specification of Wellenbund: three availability zones, 13 model workers, 3 booking workers.
     *
     * @return the specification
     */
    public static DeploymentSpec wellenbund() {
        return new DeploymentSpec(
                "wellenbund",
                List.of("a", "b", "c"),
                7,
                4,
                9,
                3,
                "briefings",
                List.of("tide-briefing", "lesson-summary", "safety-note"),
                "bookings",
                "example-key-chiemsee-surf",
                "/bookings",
                "/schedule");
    }

    /**
     * Creates the specification of Fáilte Abhaile: four sites, 8 model workers, 4 booking workers.
     *
     * @return the specification
     */
    public static DeploymentSpec failteAbhaile() {
        return new DeploymentSpec(
                "failte-abhaile",
                List.of("a", "b", "c", "d"),
                6,
                4,
                4,
                4,
                "drafts",
                List.of("summary", "entitlement-checklist", "gaeilge"),
                "volunteers",
                "example-key-casework",
                "/deliveries",
                "/rounds/today");
    }

    /**
     * Returns a copy with other numbers of processes, fewer for tests.
     *
     * @param fewerNodes the number of entry VMs
     * @param fewerPrefillWorkers the number of prefill workers
     * @param fewerDecodeWorkers the number of decode workers
     * @param fewerPlainWorkers the number of workers of the plain service
     * @return the copy
     */
    public DeploymentSpec withProcesses(
            int fewerNodes, int fewerPrefillWorkers, int fewerDecodeWorkers, int fewerPlainWorkers) {
        return new DeploymentSpec(
                name,
                zones,
                fewerNodes,
                fewerPrefillWorkers,
                fewerDecodeWorkers,
                fewerPlainWorkers,
                modelService,
                models,
                plainService,
                bearerKey,
                bookingPath,
                lookupPath);
    }

    /**
     * Gets the example configuration of the deployment.
     *
     * @return the file in {@code examples}
     */
    public Path getConfigurationFile() {
        return ROOT.resolve("examples").resolve(name + ".toml");
    }

    /**
     * Gets the availability zone of the n-th process of a kind.
     *
     * @param index the index, from 0
     * @return the availability zone
     */
    public String getZone(int index) {
        return zones.get(index % zones.size());
    }
}
