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
import org.magnoliavane.systemtest.DeploymentSize;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Measures what nodes cost, on deployments of real processes. Exit status 0 after the last figure, 2 for wrong arguments.
 */
public final class Measure {
    private static final List<String> SECTIONS =
            List.of("overhead", "throughput", "memory", "idle", "configuration", "all");
    private static final double QUICK = 0.15;

    private final Arguments arguments;
    private final Path directory;
    private final Report report;
    private final double scale;

    private Measure(Arguments arguments, Path directory) {
        this.arguments = arguments;
        this.directory = directory;
        this.report = new Report(System.out, arguments.json);
        this.scale = arguments.quick ? QUICK : 1;
    }

    /**
     * Runs the measurements that the arguments name.
     *
     * @param words the command line
     * @throws IOException when a deployment cannot be started
     */
    public static void main(String[] words) throws IOException {
        Arguments arguments = new Arguments();
        JCommander commander = JCommander.newBuilder()
                .addObject(arguments)
                .programName("bin/measure")
                .build();
        try {
            commander.parse(words);
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
        if (wants("overhead") || wants("throughput") || wants("configuration")) {
            measureCalls();
        }
        if (wants("memory")) {
            measureMemory();
        }
        if (wants("idle")) {
            measureIdle();
        }
        if (arguments.sections.contains("all")) {
            TargetSize.calculate(report);
        }
        report.finish();
    }

    private boolean wants(String section) {
        return arguments.sections.contains("all") || arguments.sections.contains(section);
    }

    private void measureCalls() throws IOException {
        DeploymentSize size = DeploymentSize.wellenbund().withProcesses(3, 3, 4, 1);
        try (LocalDeployment deployment = start(size, DeploymentOptions.of(size), openLauncher("calls"))) {
            Calls calls = new Calls(deployment);
            if (wants("overhead")) {
                new Overhead(calls, report, scale).measure();
            }
            if (wants("throughput")) {
                new Throughput(calls, report, scale).measure();
            }
            if (wants("configuration")) {
                int[] callers = arguments.quick ? new int[] {200, 800} : new int[] {20, 200, 800};
                String text = Files.readString(size.getConfigurationFile());
                new ConfigurationChanges(deployment, text, report, scale).measure(callers);
            }
        }
    }

    /** Streams get a token every half second, so that hundreds of them stay open at little load. */
    private void measureMemory() throws IOException {
        DeploymentSize size = DeploymentSize.wellenbund().withProcesses(2, 2, 4, 1);
        String text = Files.readString(size.getConfigurationFile())
                .replace("decode_pieces = 40", "decode_pieces = 160")
                .replace("decode_step_millis = 30", "decode_step_millis = 500")
                .replaceAll("tbt_millis = \\d+", "tbt_millis = 60000");
        Launcher launcher = openLauncher("memory");
        Path file = launcher.getDirectory().resolve("slow.toml");
        Files.writeString(file, text);
        DeploymentOptions options = DeploymentOptions.of(size)
                .withConfigurationFile(file)
                .withEngineOptions("--step-base-millis", "500", "--step-stream-millis", "0", "--max-running", "256");
        Launcher logging = launcher.withNodeOptions(List.of("-Xmn24m", "-Xlog:gc"));
        try (LocalDeployment deployment = start(size, options, logging)) {
            int[] counts = arguments.quick ? new int[] {0, 100} : new int[] {0, 100, 200, 400};
            new Memory(new Calls(deployment), report).measure(counts);
        }
    }

    private void measureIdle() throws IOException {
        DeploymentSize size = DeploymentSize.wellenbund().withProcesses(2, 3, 7, 1);
        try (CountingRelay relay = new CountingRelay();
                LocalDeployment deployment =
                        start(size, DeploymentOptions.of(size).withPorts(relay::toPort), openLauncher("idle"))) {
            int[] nodes = arguments.quick ? new int[] {2, 4} : new int[] {2, 4, 6, 8};
            int[] workers = arguments.quick ? new int[] {10, 100, 10} : new int[] {10, 200, 50, 100, 10};
            new Idle(new Calls(deployment), relay, report, scale).measure(nodes, workers);
        }
    }

    /** Opens a launcher with a directory of its own, because the output of a process tells its port. */
    private Launcher openLauncher(String name) throws IOException {
        return Launcher.of(Path.of(""), directory.resolve(name));
    }

    private static LocalDeployment start(DeploymentSize size, DeploymentOptions options, Launcher launcher)
            throws IOException {
        LocalDeployment deployment = LocalDeployment.start(size, options, launcher);
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        return deployment;
    }

    private static final class Arguments {
        @Parameter(description = "overhead|throughput|memory|idle|configuration|all")
        private List<String> sections = new ArrayList<>(List.of("all"));

        @Parameter(names = "--quick", description = "shorter runs, whose figures are rough")
        private boolean quick;

        @Parameter(names = "--json", description = "prints one JSON object in place of the table")
        private boolean json;

        @Parameter(names = "--help", help = true, description = "prints the options")
        private boolean help;
    }
}
