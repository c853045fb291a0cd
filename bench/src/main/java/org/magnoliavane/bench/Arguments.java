package org.magnoliavane.bench;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;

/**
 * Holds the command line of the benchmark.
 */
final class Arguments {
    @Parameter(names = "--deployment", description = "wellenbund or failte")
    String deployment = "wellenbund";

    @Parameter(names = "--policy", description = "name of a policy, or all")
    String policy = "slack";

    @Parameter(names = "--load", description = "offered work as a multiple of capacity, or all")
    String load = "1.0";

    @Parameter(names = "--seed", description = "seed of the workload")
    long seed = 1;

    @Parameter(names = "--seeds", description = "number of seeds to run, from --seed on")
    int seeds = 1;

    @Parameter(names = "--seconds", description = "length of the run; 0 for the length of the deployment")
    int seconds;

    @Parameter(names = "--faults", description = "faults to play")
    FaultScenario faults = FaultScenario.NONE;

    @Parameter(names = "--classes", description = "prints a line for each price class")
    boolean classes;

    @DynamicParameter(names = "--tune", description = "tuning value of the policy slack, such as outputMargin=1.2")
    Map<String, String> tune = new LinkedHashMap<>();

    @Parameter(names = "--plots", description = "directory for the plots of goodput and wasted prefill")
    String plots;

    @Parameter(names = "--help", help = true, description = "prints this help")
    boolean help;
}
