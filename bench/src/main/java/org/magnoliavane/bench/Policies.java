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
 * Lists the policies that the benchmark compares.
 */
final class Policies {
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

    /** Creates the policy under test with some tuning values replaced. */
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

    /** Lists the policies that decide on lagged reports without reservations. */
    static List<Policy> getBaselines() {
        return List.of(ROUND_ROBIN, LEAST_LOADED, TWO_CHOICES, PREFIX_AFFINE);
    }

    /** Creates a baseline with the limits that gave it the highest goodput over loads 0.5, 1.0 and 2.0 (seed 3). */
    private static Policy createBaseline(
            String name,
            AdmissionLimits wellenbund,
            AdmissionLimits failte,
            LongFunction<WorkerSelection> prefillPicker,
            LongFunction<WorkerSelection> decodePicker) {
        return new Policy(name, false, (deployment, seed) -> {
            AdmissionLimits limits = deployment.name().equals("failte") ? failte : wellenbund;
            return new LoadReportScheduler(
                    deployment.settings(), prefillPicker.apply(seed), decodePicker.apply(seed), limits);
        });
    }

    static Optional<Policy> findByName(String name) {
        return getAll().stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
