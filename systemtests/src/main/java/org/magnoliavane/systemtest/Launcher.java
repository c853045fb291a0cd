package org.magnoliavane.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Starts nodes, emulators and command-line clients as processes with small heaps.
 *
 * <p>Thread-safe.
 */
public final class Launcher {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final List<String> EMULATOR_JVM_OPTIONS =
            List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:CICompilerCount=1");
    private static final List<String> NODE_JVM_OPTIONS = List.of("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC");

    private final Path nodeJar;
    private final Path emulatorsJar;
    private final Path directory;
    private final List<String> nodeOptions;
    private final AtomicInteger clientCount = new AtomicInteger();

    private Launcher(Path nodeJar, Path emulatorsJar, Path directory, List<String> nodeOptions) {
        this.nodeJar = nodeJar;
        this.emulatorsJar = emulatorsJar;
        this.directory = directory;
        this.nodeOptions = nodeOptions;
    }

    /**
     * Creates a launcher for the jars of this build.
     *
     * @param root the root directory of the project
     * @param directory the directory for settings and output files, created when it does not exist
     * @return the launcher
     * @throws IOException when the directory cannot be created
     */
    public static Launcher of(Path root, Path directory) throws IOException {
        Files.createDirectories(directory);
        return new Launcher(
                root.resolve("node/target/magnoliavane.jar"),
                root.resolve("emulators/target/magnoliavane-emulators.jar"),
                directory,
                NODE_JVM_OPTIONS);
    }

    /**
     * Returns a copy that passes further JVM options to nodes.
     *
     * @param options the JVM options
     * @return the copy
     */
    public Launcher withNodeOptions(List<String> options) {
        List<String> all =
                Stream.concat(NODE_JVM_OPTIONS.stream(), options.stream()).toList();
        return new Launcher(nodeJar, emulatorsJar, directory, all);
    }

    /**
     * Gets the directory for settings and output files.
     *
     * @return the directory
     */
    public Path getDirectory() {
        return directory;
    }

    /**
     * Gets the settings file of a node.
     *
     * @param node the node id
     * @return the file, which may not exist yet
     */
    public Path getSettingsFile(String node) {
        return directory.resolve(node + ".toml");
    }

    /**
     * Starts a node with its settings file.
     *
     * @param node the node id
     * @return the process
     * @throws IOException when it cannot be started
     */
    public ManagedProcess startNode(String node) throws IOException {
        return start(
                node,
                nodeOptions,
                nodeJar,
                List.of("node", "--settings", getSettingsFile(node).toString()));
    }

    /**
     * Starts an emulator.
     *
     * @param id the name of the process and of its output file
     * @param command the command of the emulators' jar, for example {@code engine}
     * @param options the command-line options
     * @return the process
     * @throws IOException when it cannot be started
     */
    public ManagedProcess startEmulator(String id, String command, String... options) throws IOException {
        return start(
                id,
                EMULATOR_JVM_OPTIONS,
                emulatorsJar,
                Stream.concat(Stream.of(command), Stream.of(options)).toList());
    }

    /**
     * Starts the operators' command-line client.
     *
     * @param name the first part of the name of its output file; a number follows
     * @param arguments the command-line arguments
     * @return the process
     * @throws IOException when it cannot be started
     */
    public ManagedProcess startClient(String name, String... arguments) throws IOException {
        return start(name + "-" + clientCount.incrementAndGet(), EMULATOR_JVM_OPTIONS, nodeJar, List.of(arguments));
    }

    private ManagedProcess start(String name, List<String> options, Path jar, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(JAVA);
        command.addAll(options);
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(arguments);
        return ManagedProcess.start(name, command, directory);
    }
}
