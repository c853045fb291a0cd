package org.magnoliavane.bench;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;

import org.magnoliavane.bench.LoadReportScheduler.AdmissionLimits;
import org.magnoliavane.bench.LoadReportScheduler.WorkerSelection;
import org.magnoliavane.pool.SchedulerTuning;
import org.magnoliavane.pool.SlackScheduler;

/**
 * Provides the policies that the benchmark compares. Thread-safe.
 */
final class Policies {
    /** Longest queue, in tokens, at which the prefix-affine baseline still selects the preferred worker. */
    private static final long MAX_AFFINE_QUEUE_TOKENS = 4_000;

    static final Policy SLACK = createSlack(Map.of());

    static final Policy ROUND_ROBIN = createBaseline(
            "round-robin",
            new AdmissionLimits(5_000, 0.9, 0),
            new AdmissionLimits(1_000_000, 0.7, 0),
            seed -> WorkerSelections.roundRobin(seed),
            seed -> WorkerSelections.roundRobin(seed * 7));

    static final Policy LEAST_LOADED = createBaseline(
            "least-loaded",
            new AdmissionLimits(600, 0.7, 3),
            new AdmissionLimits(2_500, 0.9, 0),
            WorkerSelections::leastLoaded,
            seed -> WorkerSelections.leastLoaded(seed + 1));

    static final Policy TWO_CHOICES = createBaseline(
            "two-choices",
            new AdmissionLimits(5_000, 0.7, 3),
            new AdmissionLimits(10_000, 0.7, 3),
            WorkerSelections::twoChoices,
            seed -> WorkerSelections.twoChoices(seed + 1));

    static final Policy PREFIX_AFFINE = createBaseline(
            "prefix-affine",
            new AdmissionLimits(1_200, 0.9, 0),
            new AdmissionLimits(2_500, 0.9, 0),
            seed -> WorkerSelections.prefixAffine(seed, MAX_AFFINE_QUEUE_TOKENS),
            seed -> WorkerSelections.leastLoaded(seed + 1));

    private Policies() {}

    /**
     * Creates the policy under test.
     *
     * @param tune the tuning values to override, by name
     * @return the policy
     */
    static Policy createSlack(Map<String, String> tune) {
        return new Policy("slack", true, (deployment, seed) -> {
            SchedulerTuning tuning =
                    SchedulerTuning.forDecodeStep(deployment.settings().decodeStepMillis());
            return SlackScheduler.of(deployment.settings(), TuningOverride.apply(tuning, tune));
        });
    }

    static List<Policy> getAll() {
        return List.of(SLACK, ROUND_ROBIN, LEAST_LOADED, TWO_CHOICES, PREFIX_AFFINE);
    }

    /** Gets the policies that decide by delayed load reports and without reservations. */
    static List<Policy> getBaselines() {
        return List.of(ROUND_ROBIN, LEAST_LOADED, TWO_CHOICES, PREFIX_AFFINE);
    }

    /**
     * Creates a baseline. The limits of each baseline are those with its highest goodput over the loads 0.5, 1.0 and
     * 2.0 (seed 3).
     */
    private static Policy createBaseline(
            String name,
            AdmissionLimits wellenbund,
            AdmissionLimits failte,
            LongFunction<WorkerSelection> prefillSelection,
            LongFunction<WorkerSelection> decodeSelection) {
        return new Policy(name, false, (deployment, seed) -> {
            AdmissionLimits limits = deployment.name().equals("failte") ? failte : wellenbund;
            return new LoadReportScheduler(
                    deployment.settings(), prefillSelection.apply(seed), decodeSelection.apply(seed), limits);
        });
    }

    /** Finds a policy by its name on the command line; empty when there is none. */
    static Optional<Policy> findByName(String name) {
        return getAll().stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
