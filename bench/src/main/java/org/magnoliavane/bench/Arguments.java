package org.magnoliavane.bench;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;

/**
 * Holds the command-line arguments of the benchmark. Not thread-safe.
 */
final class Arguments {
    @Parameter(names = "--deployment", description = "deployment to simulate: wellenbund or failte")
    String deployment = "wellenbund";

    @Parameter(names = "--policy", description = "name of the policy to run, or all")
    String policy = "slack";

    @Parameter(
            names = "--load",
            description = "offered load as a multiple of capacity, several separated by commas, or all")
    String load = "1.0";

    @Parameter(names = "--seed", description = "seed of the workload")
    long seed = 1;

    @Parameter(names = "--seeds", description = "number of consecutive seeds to run, starting with --seed")
    int seeds = 1;

    @Parameter(names = "--seconds", description = "length of the run in seconds; 0 for the default of the deployment")
    int seconds;

    @Parameter(names = "--faults", description = "fault scenario to simulate")
    FaultScenario faults = FaultScenario.NONE;

    @Parameter(names = "--classes", description = "prints one line for each price class")
    boolean classes;

    @DynamicParameter(
            names = "--tune",
            description = "overrides a tuning value of the policy slack, such as outputMargin=1.2")
    Map<String, String> tune = new LinkedHashMap<>();

    @Parameter(
            names = "--plots",
            description = "directory to which the plots of goodput and wasted prefill are written")
    String plots;

    @Parameter(names = "--help", help = true, description = "prints this help")
    boolean help;
}
