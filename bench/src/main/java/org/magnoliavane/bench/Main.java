package org.magnoliavane.bench;

import java.io.File;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.JCommander;
import org.magnoliavane.config.PriceClass;

/**
 * Runs the benchmark from the command line and prints one line for each run.
 */
public final class Main {
    /** The offered loads that {@code --load all} runs, as multiples of the capacity. */
    static final List<Double> LOADS = List.of(0.5, 0.9, 1.0, 1.2, 2.0);

    private static final PrintStream OUT = System.out;

    private Main() {}

    /**
     * Parses the arguments and runs the benchmark.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        Arguments parsed = new Arguments();
        JCommander commander = JCommander.newBuilder()
                .addObject(parsed)
                .programName("magnoliavane-bench")
                .build();
        commander.parse(arguments);
        if (parsed.help) {
            commander.usage();
            return;
        }
        Deployment deployment = Deployment.findByName(parsed.deployment)
                .orElseThrow(() -> new IllegalArgumentException(
                        "--deployment " + parsed.deployment + " is unknown; use wellenbund or failte"));
        printTable(deployment, parsed);
    }

    private static void printTable(Deployment deployment, Arguments arguments) {
        int seconds = arguments.seconds == 0 ? deployment.seconds() : arguments.seconds;
        OUT.printf(
                Locale.ROOT,
                "deployment %s, capacity %.2f requests/s, %d s, faults %s%n",
                deployment.name(),
                Workload.getCapacityPerSecond(deployment),
                seconds,
                arguments.faults);
        OUT.println("policy          load seed offered  good bound ratio wasted% refused  price jain  past mem lapse"
                + " end held  pre  mem  p50us  p99us");
        Plots plots = new Plots();
        for (double load : parseLoads(arguments.load)) {
            for (long seed = arguments.seed; seed < arguments.seed + arguments.seeds; seed++) {
                List<Job> jobs = Workload.generate(deployment, load, seed, seconds);
                double bound = GoodputBound.compute(deployment, jobs);
                plots.addGoodput("bound", load, bound / seconds);
                for (Policy policy : parsePolicies(arguments)) {
                    RunResult result = new Simulation(deployment, policy, jobs, seed, seconds, arguments.faults).run();
                    printRow(policy, load, seed, bound, result);
                    plots.addGoodput(policy.name(), load, (double) result.countGood() / seconds);
                    plots.addWastedPrefill(policy.name(), load, 100 * result.getWastedShare());
                    if (arguments.classes) {
                        printClassRows(deployment, result);
                    }
                }
            }
        }
        if (arguments.plots != null) {
            plots.write(new File(arguments.plots), deployment.name());
        }
    }

    private static void printRow(Policy policy, double load, long seed, double bound, RunResult result) {
        long refused = result.outcomes().stream().filter(Outcome::isRefused).count();
        OUT.printf(
                Locale.ROOT,
                "%-15s %4.1f %4d %7d %5d %5.0f %5.3f %7.3f %7d %6.1f %5.3f %4d %3d %5d %3d %4d %.2f %.2f %6.1f %6.1f%n",
                policy.name(),
                load,
                seed,
                result.outcomes().size(),
                result.countGood(),
                bound,
                result.countGood() / Math.max(1, bound),
                100 * result.getWastedShare(),
                refused,
                result.getPrice(),
                result.computeFairness(),
                result.countExceededMaxWait(),
                result.memoryRefusals(),
                result.expiredPrefills(),
                result.endedAttempts(),
                result.unreleasedPieces(),
                result.prefillUtilization(),
                result.decodeMemoryUtilization(),
                result.decisionNanos().getValueAtPercentile(50) / 1000.0,
                result.decisionNanos().getValueAtPercentile(99) / 1000.0);
    }

    private static void printClassRows(Deployment deployment, RunResult result) {
        for (PriceClass each : deployment.classes()) {
            String name = each.name();
            OUT.printf(
                    Locale.ROOT,
                    "  %-10s offered %5d good %5d refused %5d after p50/p99 %.0f/%.0f ms, wait p50/p99/max"
                            + " %.0f/%.0f/%.0f ms of %d%n",
                    name,
                    result.countOffered(name),
                    result.countGood(name),
                    result.countRefused(name),
                    result.getRefusalMillis(name, 50),
                    result.getRefusalMillis(name, 99),
                    result.getPrefillWaitMillis(name, 50),
                    result.getPrefillWaitMillis(name, 99),
                    result.getPrefillWaitMillis(name, 100),
                    each.maxWaitMillis());
        }
    }

    private static List<Double> parseLoads(String text) {
        return text.equals("all")
                ? LOADS
                : Arrays.stream(text.split(",")).map(Double::valueOf).toList();
    }

    private static List<Policy> parsePolicies(Arguments arguments) {
        String text = arguments.policy;
        if (text.equals("all")) {
            return Policies.getAll();
        }
        if (text.equals(Policies.SLACK.name())) {
            return List.of(Policies.createSlack(arguments.tune));
        }
        return List.of(Policies.findByName(text)
                .orElseThrow(() -> new IllegalArgumentException("--policy " + text + " is unknown; use all or one of "
                        + Policies.getAll().stream().map(Policy::name).toList())));
    }
}
