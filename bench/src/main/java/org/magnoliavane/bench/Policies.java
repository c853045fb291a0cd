package org.magnoliavane.bench;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.pool.SchedulerTuning;
import org.magnoliavane.pool.SlackScheduler;

/**
 * Lists the policies that the benchmark compares.
 */
final class Policies {
    static final Policy SLACK = slack(Map.of());

    private static final ReportScheduler.Limits LIMITS = limits();

    static final Policy ROUND_ROBIN = new Policy(
            "round-robin",
            false,
            (deployment, seed) -> new ReportScheduler(
                    deployment.settings(), Pickers.roundRobin(seed), Pickers.roundRobin(seed * 7), LIMITS));

    static final Policy LEAST_LOADED = new Policy(
            "least-loaded",
            false,
            (deployment, seed) -> new ReportScheduler(
                    deployment.settings(), Pickers.leastLoaded(seed), Pickers.leastLoaded(seed + 1), LIMITS));

    static final Policy TWO_CHOICES = new Policy(
            "two-choices",
            false,
            (deployment, seed) -> new ReportScheduler(
                    deployment.settings(), Pickers.twoChoices(seed), Pickers.twoChoices(seed + 1), LIMITS));

    static final Policy PREFIX_AFFINE = new Policy(
            "prefix-affine",
            false,
            (deployment, seed) -> new ReportScheduler(
                    deployment.settings(), Pickers.prefixAffine(seed, 4_000), Pickers.leastLoaded(seed + 1), LIMITS));

    private Policies() {}

    /** Creates the policy under test with some tuning values replaced. */
    static Policy slack(Map<String, String> tune) {
        return new Policy("slack", true, (deployment, seed) -> {
            SchedulerTuning tuning =
                    SchedulerTuning.ofStep(deployment.settings().decodeStepMillis());
            return SlackScheduler.of(deployment.settings(), TuningOverride.apply(tuning, tune));
        });
    }

    static List<Policy> all() {
        return List.of(SLACK, ROUND_ROBIN, LEAST_LOADED, TWO_CHOICES, PREFIX_AFFINE);
    }

    private static ReportScheduler.Limits limits() {
        String[] v = System.getProperty("limits", "1000000,0.9,0").split(",");
        return new ReportScheduler.Limits(Long.parseLong(v[0]), Double.parseDouble(v[1]), Integer.parseInt(v[2]));
    }

    static Optional<Policy> parse(String name) {
        return all().stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
