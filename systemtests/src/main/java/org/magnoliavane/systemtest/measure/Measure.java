package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.magnoliavane.systemtest.DeploymentOptions;
import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Measures the overhead of nodes on deployments of real processes. The exit status is 0 after the last figure and 2 for
 * wrong arguments.
 */
public final class Measure {
    private static final List<String> SECTIONS =
            List.of("overhead", "throughput", "memory", "idle", "configuration", "all");
    private static final double QUICK_SCALE = 0.15;

    private final Arguments arguments;
    private final Path directory;
    private final Report report;
    private final double scale;

    private Measure(Arguments arguments, Path directory) {
        this.arguments = arguments;
        this.directory = directory;
        this.report = new Report(System.out, arguments.json);
        this.scale = arguments.quick ? QUICK_SCALE : 1;
    }

    /**
     * Runs the selected measurements.
     *
     * @param commandLine the command-line arguments
     * @throws IOException when a deployment cannot be started
     */
    public static void main(String[] commandLine) throws IOException {
        Arguments arguments = new Arguments();
        JCommander commander = JCommander.newBuilder()
                .addObject(arguments)
                .programName("bin/measure")
                .build();
        try {
            commander.parse(commandLine);
        } catch (ParameterException e) {
            System.err.println(e.getMessage() + "; --help prints the options");
            System.exit(2);
        }
        if (arguments.help) {
            commander.usage();
            return;
        }
        if (!SECTIONS.containsAll(arguments.sections)) {
            System.err.println("unknown section in " + arguments.sections + "; use " + SECTIONS);
            System.exit(2);
        }
        Path directory = Files.createTempDirectory("magnoliavane-measure");
        System.err.println("output of the processes in " + directory);
        new Measure(arguments, directory).run();
        System.exit(0);
    }

    private void run() throws IOException {
        if (isSelected("overhead") || isSelected("throughput") || isSelected("configuration")) {
            measureRequests();
        }
        if (isSelected("memory")) {
            measureMemory();
        }
        if (isSelected("idle")) {
            measureIdle();
        }
        if (arguments.sections.contains("all")) {
            TargetSizeEstimate.calculate(report);
        }
        report.finish();
    }

    private boolean isSelected(String section) {
        return arguments.sections.contains("all") || arguments.sections.contains(section);
    }

    private void measureRequests() throws IOException {
        DeploymentSpec spec = DeploymentSpec.wellenbund().withProcesses(3, 3, 4, 1);
        try (LocalDeployment deployment = start(spec, DeploymentOptions.of(spec), openLauncher("calls"))) {
            RequestSender sender = new RequestSender(deployment);
            if (isSelected("overhead")) {
                new OverheadMeasurement(sender, report, scale).measure();
            }
            if (isSelected("throughput")) {
                new ThroughputMeasurement(sender, report, scale).measure();
            }
            if (isSelected("configuration")) {
                int[] callers = arguments.quick ? new int[] {200, 800} : new int[] {20, 200, 800};
                String text = Files.readString(spec.getConfigurationFile());
                new ConfigurationMeasurement(deployment, text, report, scale).measure(callers);
            }
        }
    }

    /** Slows the engines to one token every 500 ms, so that hundreds of streams stay open at low load. */
    private void measureMemory() throws IOException {
        DeploymentSpec spec = DeploymentSpec.wellenbund().withProcesses(2, 2, 4, 1);
        String text = Files.readString(spec.getConfigurationFile())
                .replace("decode_pieces = 40", "decode_pieces = 160")
                .replace("decode_step_millis = 30", "decode_step_millis = 500")
                .replaceAll("tbt_millis = \\d+", "tbt_millis = 60000");
        Launcher launcher = openLauncher("memory");
        Path file = launcher.getDirectory().resolve("slow.toml");
        Files.writeString(file, text);
        DeploymentOptions options = DeploymentOptions.of(spec)
                .withConfigurationFile(file)
                .withEngineOptions("--step-base-millis", "500", "--step-stream-millis", "0", "--max-running", "256");
        Launcher logging = launcher.withNodeOptions(List.of("-Xmn24m", "-Xlog:gc"));
        try (LocalDeployment deployment = start(spec, options, logging)) {
            int[] counts = arguments.quick ? new int[] {0, 100} : new int[] {0, 100, 200, 400};
            new MemoryMeasurement(new RequestSender(deployment), report).measure(counts);
        }
    }

    private void measureIdle() throws IOException {
        DeploymentSpec spec = DeploymentSpec.wellenbund().withProcesses(2, 3, 7, 1);
        try (CountingRelay relay = new CountingRelay();
                LocalDeployment deployment =
                        start(spec, DeploymentOptions.of(spec).withPorts(relay::openRelay), openLauncher("idle"))) {
            int[] nodes = arguments.quick ? new int[] {2, 4} : new int[] {2, 4, 6, 8};
            int[] workers = arguments.quick ? new int[] {10, 100, 10} : new int[] {10, 200, 50, 100, 10};
            new IdleMeasurement(new RequestSender(deployment), relay, report, scale).measure(nodes, workers);
        }
    }

    /** Creates a launcher with a directory of its own, because the port of a process is read from its output file. */
    private Launcher openLauncher(String name) throws IOException {
        return Launcher.of(Path.of(""), directory.resolve(name));
    }

    private static LocalDeployment start(DeploymentSpec spec, DeploymentOptions options, Launcher launcher)
            throws IOException {
        LocalDeployment deployment = LocalDeployment.start(spec, options, launcher);
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        return deployment;
    }

    private static final class Arguments {
        @Parameter(description = "overhead|throughput|memory|idle|configuration|all")
        private List<String> sections = new ArrayList<>(List.of("all"));

        @Parameter(names = "--quick", description = "shorter runs with less precise figures")
        private boolean quick;

        @Parameter(names = "--json", description = "prints one JSON object instead of the table")
        private boolean json;

        @Parameter(names = "--help", help = true, description = "prints the options")
        private boolean help;
    }
}
