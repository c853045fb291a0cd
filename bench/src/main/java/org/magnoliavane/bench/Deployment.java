package org.magnoliavane.bench;

import java.util.List;
import java.util.Optional;

import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;

/**
 * Describes the workers and the workload of one deployment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name used on the command line
 * @param zones the number of availability zones
 * @param zoneDelayMicros the one-way delay between two zones, in microseconds
 * @param nodes the number of nodes that receive requests
 * @param prefillWorkers the number of prefill workers
 * @param decodeWorkers the number of decode workers
 * @param settings the settings of the model service
 * @param classes the price classes
 * @param classShares the share of the arrivals that belongs to each class
 * @param maxPromptTokens the longest prompt of each class in tokens; idle workers can still meet the target of the
 *     class for it
 * @param partnerShares the share of the arrivals that belongs to each partner
 * @param medianPromptTokens the median of the log-normal prompt length, in tokens
 * @param promptSigma the standard deviation of the logarithm of the prompt length
 * @param maxSharedPieces the length of the longest shared prefix, in pieces
 * @param prefixCachePieces the capacity of the prefix cache of a prefill worker, in pieces
 * @param seconds the default length of a run in seconds
 */
record Deployment(
        String name,
        int zones,
        long zoneDelayMicros,
        int nodes,
        int prefillWorkers,
        int decodeWorkers,
        ModelSettings settings,
        List<PriceClass> classes,
        double[] classShares,
        int[] maxPromptTokens,
        double[] partnerShares,
        double medianPromptTokens,
        double promptSigma,
        int maxSharedPieces,
        int prefixCachePieces,
        int seconds) {

    static Deployment createWellenbund() {
        ModelSettings settings =
                new ModelSettings(List.of("brief"), 2048, 30, 10_000, 30, 50_000, 800, 200, 1_000, 0.2);
        List<PriceClass> classes = List.of(
                new PriceClass("urgent", 30, 1_000, 50, 800),
                new PriceClass("standard", 20, 4_000, 80, 3_500),
                new PriceClass("patient", 10, 20_000, 120, 15_000));
        return new Deployment(
                "wellenbund",
                3,
                500,
                6,
                4,
                9,
                settings,
                classes,
                new double[] {0.4, 0.35, 0.25},
                new int[] {4_000, 16_000, 32_000},
                new double[] {0.4, 0.2, 0.2, 0.1, 0.1},
                800,
                1.2,
                3,
                128,
                300);
    }

    static Deployment createFailte() {
        ModelSettings settings =
                new ModelSettings(List.of("draft"), 2048, 92, 10_000, 30, 50_000, 800, 500, 2_500, 0.8);
        List<PriceClass> classes = List.of(
                new PriceClass("urgent", 30, 6_000, 50, 4_000),
                new PriceClass("standard", 20, 15_000, 80, 12_000),
                new PriceClass("patient", 10, 60_000, 120, 45_000));
        return new Deployment(
                "failte",
                4,
                1_000,
                6,
                4,
                4,
                settings,
                classes,
                new double[] {0.15, 0.35, 0.5},
                new int[] {15_000, 40_000, 40_000},
                new double[] {0.5, 0.3, 0.2},
                5_000,
                1.0,
                6,
                128,
                1_200);
    }

    /** Finds a deployment by its name on the command line; empty when there is none. */
    static Optional<Deployment> findByName(String name) {
        return List.of(createWellenbund(), createFailte()).stream()
                .filter(each -> each.name.equals(name))
                .findFirst();
    }

    String getPrefillZone(int index) {
        return "z" + index % zones;
    }

    String getDecodeZone(int index) {
        return "z" + index % zones;
    }

    String getNodeZone(int index) {
        return "z" + index % zones;
    }

    /** Gets the one-way delay between two zones, in microseconds. */
    long getDelayMicros(String from, String to) {
        return from.equals(to) ? 100 : zoneDelayMicros;
    }
}
