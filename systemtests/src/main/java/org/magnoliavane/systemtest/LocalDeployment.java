package org.magnoliavane.systemtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.config.ConfigurationText;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpResponse;

/**
 * Runs a whole deployment as processes on the loopback interface: the outside systems, the backend servers and the nodes.
 *
 * <p>Thread-safe. Closing it kills every process that it started, by its id.
 */
public final class LocalDeployment implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final long START_MILLIS = 30_000;
    private static final long POLL_MILLIS = 50;
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_BLOCKS = 200;
    private static final int PORTS_PER_BLOCK = 100;

    private final DeploymentSize size;
    private final DeploymentOptions options;
    private final Launcher launcher;
    private final ModelSettings figures;
    private final HttpClient client;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Endpoint> operators = new HashMap<>();
    private final Map<String, Map<String, Object>> vms = new LinkedHashMap<>();

    private boolean closed;
    private int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_BLOCKS) * PORTS_PER_BLOCK;

    private LocalDeployment(DeploymentSize size, DeploymentOptions options, Launcher launcher) throws IOException {
        this.size = size;
        this.options = options;
        this.launcher = launcher;
        this.figures = readFigures(size, options.configurationFile());
        this.client = HttpClient.open("deployment");
    }

    /**
     * Starts a deployment, publishes the example configuration and waits until every node is ready.
     *
     * @param size the size
     * @param launcher starts the programs
     * @return the deployment
     * @throws IOException when a process cannot be started
     */
    public static LocalDeployment start(DeploymentSize size, Launcher launcher) throws IOException {
        return start(size, DeploymentOptions.of(size), launcher);
    }

    /**
     * Starts a deployment whose log service keeps records for a short time.
     *
     * @param size the size
     * @param launcher starts the programs
     * @param retentionMillis the time for which the log service keeps a record
     * @return the deployment
     * @throws IOException when a process cannot be started
     */
    public static LocalDeployment start(DeploymentSize size, Launcher launcher, long retentionMillis)
            throws IOException {
        return start(size, DeploymentOptions.of(size).withLogRetentionMillis(retentionMillis), launcher);
    }

    /**
     * Starts a deployment, publishes its configuration and waits until every node is ready.
     *
     * @param size the size
     * @param options the configuration, options of engines, and the ports by which nodes reach other processes
     * @param launcher starts the programs
     * @return the deployment
     * @throws IOException when a process cannot be started
     */
    public static LocalDeployment start(DeploymentSize size, DeploymentOptions options, Launcher launcher)
            throws IOException {
        LocalDeployment deployment = new LocalDeployment(size, options, launcher);
        try {
            deployment.startAll();
            return deployment;
        } catch (IOException | RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /**
     * Gets the size.
     *
     * @return the size
     */
    public DeploymentSize getSize() {
        return size;
    }

    /**
     * Gets the client that tests may use too.
     *
     * @return the client
     */
    public HttpClient getClient() {
        return client;
    }

    /**
     * Gets a process.
     *
     * @param id its VM id, or {@code log}, {@code vmlist}, {@code weights}
     * @return the process
     */
    public synchronized ManagedProcess getProcess(String id) {
        return processes.get(id);
    }

    /**
     * Gets the endpoint of a process; for a node, the one for callers.
     *
     * @param id its VM id, or {@code log}, {@code vmlist}, {@code weights}
     * @return the endpoint
     */
    public synchronized Endpoint getEndpoint(String id) {
        return endpoints.get(id);
    }

    /**
     * Gets the operators' endpoint of a node.
     *
     * @param node the node id
     * @return the endpoint
     */
    public synchronized Endpoint getOperatorEndpoint(String node) {
        return operators.get(node);
    }

    /**
     * Gets the ids of the nodes that were started and not killed.
     *
     * @return the ids
     */
    public synchronized List<String> getNodes() {
        return processes.keySet().stream()
                .filter(id -> id.startsWith("entry-"))
                .filter(id -> processes.get(id).isAlive())
                .toList();
    }

    /**
     * Gets the VM ids of the backend servers with a role.
     *
     * @param role {@code prefill}, {@code decode} or {@code plain}
     * @return the ids
     */
    public synchronized List<String> getWorkers(String role) {
        return vms.keySet().stream().filter(id -> id.startsWith(role + "-")).toList();
    }

    /**
     * Kills a node and takes its VM off the list.
     *
     * @param node the node id
     */
    public void killNode(String node) {
        getProcess(node).kill();
        synchronized (this) {
            vms.remove(node);
        }
        publishVms();
    }

    /**
     * Starts a node again under its id, with the ports it had.
     *
     * @param node the node id
     * @throws IOException when the process cannot be started
     */
    public void restartNode(String node) throws IOException {
        int index = Integer.parseInt(node.substring("entry-".length())) - 1;
        synchronized (this) {
            processes.put(node, launcher.startNode(node));
            vms.put(node, describeNode(index));
        }
        publishVms();
        awaitReady(node);
    }

    /**
     * Kills a model worker and starts another one in its place, under a new VM id and a new port. Until the new one
     * listens, the VM list names the killed one.
     *
     * @param id the VM id of a prefill or decode worker
     * @return the VM id of the new worker
     * @throws IOException when the process cannot be started
     */
    public String replaceWorker(String id) throws IOException {
        getProcess(id).kill();
        String role = id.substring(0, id.indexOf('-'));
        String next;
        synchronized (this) {
            long started = processes.keySet().stream()
                    .filter(p -> p.startsWith(role + "-"))
                    .count();
            next = role + "-" + (started + 1);
            startEngine(next, role);
        }
        awaitEmulators(List.of(next));
        synchronized (this) {
            String zone = (String) vms.remove(id).get("zone");
            vms.put(next, describeWorker(next, role, next, zone));
        }
        publishVms();
        return next;
    }

    /**
     * Starts one more node and waits until it knows the whole deployment.
     *
     * @return the node id
     * @throws IOException when the process cannot be started
     */
    public String addNode() throws IOException {
        int index = getNodes().size();
        synchronized (this) {
            startNode(index);
        }
        publishVms();
        String id = "entry-" + (index + 1);
        awaitReady(id);
        getNodes().forEach(this::awaitWholeView);
        return id;
    }

    /**
     * Lists backend servers of a role under further ids, at the ports of those that run. Ids that were listed before in
     * this way are taken off the list.
     *
     * @param role the role
     * @param count the number of entries in the VM list; those that run stay listed when it is smaller
     */
    public void listWorkers(String role, int count) {
        synchronized (this) {
            List<String> running = processes.keySet().stream()
                    .filter(id -> id.startsWith(role + "-"))
                    .toList();
            vms.keySet().removeIf(id -> id.startsWith(role + "-") && !running.contains(id));
            for (int i = running.size(); i < count; i++) {
                String id = role + "-" + (i + 1);
                vms.put(id, describeWorker(id, role, running.get(i % running.size()), size.getZone(i)));
            }
        }
        publishVms();
        getNodes().forEach(this::awaitWholeView);
    }

    /**
     * Marks a VM as leaving in the VM list.
     *
     * @param id the VM id
     */
    public void markLeaving(String id) {
        synchronized (this) {
            vms.get(id).put("state", "leaving");
        }
        publishVms();
    }

    /**
     * Publishes a configuration text with the operators' client.
     *
     * @param file the text
     * @return the exit status of the client
     * @throws IOException when the client cannot be started
     */
    public int publish(Path file) throws IOException {
        ManagedProcess process = launcher.startClient(
                "publish",
                "publish",
                file.toString(),
                "--log",
                getEndpoint("log").getUrl());
        return process.awaitEnd(START_MILLIS).orElseThrow();
    }

    /**
     * Reads the version of the configuration that a node has in force.
     *
     * @param node the node id
     * @return the version, or empty when the node does not answer
     */
    public Optional<Long> findVersion(String node) {
        try {
            JsonNode status = getOperatorEndpoint(node).get("/operator/status");
            return Optional.of(status.path("configuration_version").asLong());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Waits until a node is ready to serve callers.
     *
     * @param node the node id
     */
    public void awaitReady(String node) {
        long deadline = System.nanoTime() + START_MILLIS * 1_000_000;
        while (System.nanoTime() < deadline) {
            if (isReady(node)) {
                return;
            }
            if (!getProcess(node).isAlive()) {
                break;
            }
            ManagedProcess.sleep(POLL_MILLIS);
        }
        throw new IllegalStateException(node + " is not ready; see its log in " + launcher.getDirectory());
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        processes.values().forEach(ManagedProcess::close);
        processes.values().forEach(p -> p.awaitEnd(START_MILLIS));
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean isReady(String node) {
        try {
            Endpoint endpoint = getEndpoint(node);
            HttpResponse response =
                    endpoint.send(endpoint.request("GET", "/readyz").withTimeoutMillis(1000));
            return response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void startAll() throws IOException {
        startEmulator("log", "log", "--retain-millis", Long.toString(options.logRetentionMillis()));
        startEmulator("vmlist", "vmlist", "--lag-millis", "200");
        startEmulator("weights", "weights");
        awaitEmulators(List.of("log", "vmlist", "weights"));
        for (int i = 0; i < size.prefillWorkers(); i++) {
            startEngine("prefill-" + (i + 1), "prefill");
        }
        for (int i = 0; i < size.decodeWorkers(); i++) {
            startEngine("decode-" + (i + 1), "decode");
        }
        for (int i = 0; i < size.plainWorkers(); i++) {
            startEmulator("plain-" + (i + 1), "booking");
        }
        for (int i = 0; i < size.nodes(); i++) {
            startNode(i);
        }
        awaitEmulators(Stream.of("prefill", "decode", "plain")
                .flatMap(r -> processes.keySet().stream().filter(id -> id.startsWith(r + "-")))
                .toList());
        describeWorkers();
        publishVms();
        int status = publish(options.configurationFile());
        if (status != 0) {
            throw new IllegalStateException("publishing the example failed with status " + status);
        }
        getNodes().forEach(this::awaitReady);
        getNodes().forEach(this::awaitWholeView);
    }

    /** Waits until a node knows every node and every backend server. */
    private void awaitWholeView(String node) {
        long deadline = System.nanoTime() + START_MILLIS * 1_000_000;
        while (!hasWholeView(node)) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException(node + " does not know the whole deployment in time");
            }
            ManagedProcess.sleep(POLL_MILLIS);
        }
    }

    private boolean hasWholeView(String node) {
        try {
            JsonNode status = getOperatorEndpoint(node).get("/operator/status");
            int known =
                    status.path("nodes").size() + status.path("backend_servers").size();
            return known == vms.size();
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts an engine whose figures are those that the configuration states. */
    private void startEngine(String id, String role) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(
                "--role",
                role,
                "--models",
                String.join(",", size.models()),
                "--weights",
                HOST + ":" + endpoints.get("weights").getPort(),
                "--pieces",
                Integer.toString(figures.decodePieces()),
                "--prefill-tokens-per-second",
                Integer.toString(figures.prefillTokensPerSecond()),
                "--link-tokens-per-second",
                Integer.toString(figures.transferTokensPerSecond()),
                "--prefill-lapse-millis",
                Long.toString(figures.prefillLifetimeMillis())));
        arguments.addAll(options.engineOptions());
        startEmulator(id, "engine", arguments.toArray(String[]::new));
    }

    private static ModelSettings readFigures(DeploymentSize size, Path file) throws IOException {
        String text = Files.readString(file);
        return ConfigurationText.parse(text, 1)
                .getOrElseThrow(problems -> new IllegalStateException(problems.toString()))
                .services()
                .get(size.modelService())
                .model()
                .orElseThrow();
    }

    private void startEmulator(String id, String command, String... options) throws IOException {
        processes.put(id, launcher.startEmulator(id, command, options));
    }

    private void awaitEmulators(List<String> ids) {
        for (String id : ids) {
            String[] address =
                    getProcess(id).awaitLine("listening ", START_MILLIS).trim().split(" ");
            Endpoint endpoint = new Endpoint(client, address[0], Integer.parseInt(address[1]));
            synchronized (this) {
                endpoints.put(id, endpoint);
            }
        }
    }

    private void startNode(int index) throws IOException {
        String id = "entry-" + (index + 1);
        List<Integer> ports = findFreePorts(3);
        endpoints.put(id, new Endpoint(client, HOST, ports.get(0)));
        operators.put(id, new Endpoint(client, HOST, ports.get(2)));
        vms.put(id, describeNode(index, ports.get(1)));
        Files.writeString(launcher.getSettingsFile(id), settingsOf(id, size.getZone(index), ports));
        processes.put(id, launcher.startNode(id));
    }

    private String settingsOf(String id, String zone, List<Integer> ports) {
        return String.join(
                "\n",
                "[node]",
                "id = \"" + id + "\"",
                "zone = \"" + zone + "\"",
                "cluster = \"" + size.name() + "\"",
                "[listen]",
                "host = \"" + HOST + "\"",
                "caller_port = " + ports.get(0),
                "peer_port = " + ports.get(1),
                "operator_port = " + ports.get(2),
                "[platform]",
                "log = \"" + urlForNodes("log") + "\"",
                "vm_list = \"" + urlForNodes("vmlist") + "\"",
                "log_retention_millis = " + options.logRetentionMillis(),
                "vm_list_poll_millis = 300",
                "[logging]",
                "level = \"info\"",
                "format = \"text\"",
                "");
    }

    private Map<String, Object> describeNode(int index, int peerPort) {
        String id = "entry-" + (index + 1);
        return describe(
                id,
                size.getZone(index),
                Map.of(
                        "role",
                        "entry",
                        "caller_port",
                        Integer.toString(endpoints.get(id).getPort()),
                        "peer_port",
                        Integer.toString(options.ports().toPort("peer", peerPort)),
                        "operator_port",
                        Integer.toString(operators.get(id).getPort())));
    }

    private Map<String, Object> describeNode(int index) throws IOException {
        String id = "entry-" + (index + 1);
        String line = Files.readAllLines(launcher.getSettingsFile(id)).stream()
                .filter(l -> l.startsWith("peer_port"))
                .findFirst()
                .orElseThrow();
        return describeNode(index, Integer.parseInt(line.substring(line.indexOf('=') + 2)));
    }

    private void describeWorkers() {
        for (String role : List.of("prefill", "decode", "plain")) {
            List<String> ids = processes.keySet().stream()
                    .filter(id -> id.startsWith(role + "-"))
                    .toList();
            for (int i = 0; i < ids.size(); i++) {
                vms.put(ids.get(i), describeWorker(ids.get(i), role, ids.get(i), size.getZone(i)));
            }
        }
    }

    /** Describes a worker that is served by a process; several ids may share one process. */
    private Map<String, Object> describeWorker(String id, String role, String process, String zone) {
        String service = role.equals("plain") ? size.plainService() : size.modelService();
        int port = options.ports().toPort(role, endpoints.get(process).getPort());
        return describe(
                id,
                zone,
                Map.of("role", "backend", "service", service, "port", Integer.toString(port), "worker_role", role));
    }

    private String urlForNodes(String id) {
        return "http://" + HOST + ":"
                + options.ports().toPort(id, endpoints.get(id).getPort());
    }

    private static Map<String, Object> describe(String id, String zone, Map<String, String> tags) {
        Map<String, Object> vm = new LinkedHashMap<>();
        vm.put("id", id);
        vm.put("address", HOST);
        vm.put("zone", zone);
        vm.put("state", "live");
        vm.put("tags", tags);
        return vm;
    }

    private synchronized void publishVms() {
        try {
            HttpResponse response = endpoints
                    .get("vmlist")
                    .send("PUT", "/control/vms", Map.of("vms", new ArrayList<>(vms.values())), Map.of());
            if (response.status() >= 300) {
                throw new IllegalStateException("VM list gave " + response.status() + ": " + response.getText());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Finds free ports below the range from which the kernel draws the ports of outgoing connections; a free port of that
     * range may be taken again before the node listens on it.
     */
    private synchronized List<Integer> findFreePorts(int count) {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = nextPort++;
            if (isFree(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
