package org.magnoliavane.bench;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;

import org.magnoliavane.bench.ReportScheduler.Limits;
import org.magnoliavane.bench.ReportScheduler.Picker;
import org.magnoliavane.pool.SchedulerTuning;
import org.magnoliavane.pool.SlackScheduler;

/**
 * Lists the policies that the benchmark compares.
 */
final class Policies {
    private static final long SPILL_TOKENS = 4_000;

    static final Policy SLACK = slack(Map.of());

    static final Policy ROUND_ROBIN = baseline(
            "round-robin",
            new Limits(5_000, 0.9, 0),
            new Limits(1_000_000, 0.7, 0),
            seed -> Pickers.roundRobin(seed),
            seed -> Pickers.roundRobin(seed * 7));

    static final Policy LEAST_LOADED = baseline(
            "least-loaded",
            new Limits(600, 0.7, 3),
            new Limits(2_500, 0.9, 0),
            Pickers::leastLoaded,
            seed -> Pickers.leastLoaded(seed + 1));

    static final Policy TWO_CHOICES = baseline(
            "two-choices",
            new Limits(5_000, 0.7, 3),
            new Limits(10_000, 0.7, 3),
            Pickers::twoChoices,
            seed -> Pickers.twoChoices(seed + 1));

    static final Policy PREFIX_AFFINE = baseline(
            "prefix-affine",
            new Limits(1_200, 0.9, 0),
            new Limits(2_500, 0.9, 0),
            seed -> Pickers.prefixAffine(seed, SPILL_TOKENS),
            seed -> Pickers.leastLoaded(seed + 1));

    private Policies() {}

    /** Creates the policy under test with some tuning values replaced. */
    static Policy slack(Map<String, String> tune) {
        return new Policy("slack", true, (deployment, seed) -> {
            SchedulerTuning tuning =
                    SchedulerTuning.forDecodeStep(deployment.settings().decodeStepMillis());
            return SlackScheduler.of(deployment.settings(), TuningOverride.apply(tuning, tune));
        });
    }

    static List<Policy> all() {
        return List.of(SLACK, ROUND_ROBIN, LEAST_LOADED, TWO_CHOICES, PREFIX_AFFINE);
    }

    /** Lists the policies that decide on lagged reports without reservations. */
    static List<Policy> baselines() {
        return List.of(ROUND_ROBIN, LEAST_LOADED, TWO_CHOICES, PREFIX_AFFINE);
    }

    /** Creates a baseline with the limits that gave it the highest goodput over loads 0.5, 1.0 and 2.0 (seed 3). */
    private static Policy baseline(
            String name,
            Limits wellenbund,
            Limits failte,
            LongFunction<Picker> prefillPicker,
            LongFunction<Picker> decodePicker) {
        return new Policy(name, false, (deployment, seed) -> {
            Limits limits = deployment.name().equals("failte") ? failte : wellenbund;
            return new ReportScheduler(
                    deployment.settings(), prefillPicker.apply(seed), decodePicker.apply(seed), limits);
        });
    }

    static Optional<Policy> parse(String name) {
        return all().stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
