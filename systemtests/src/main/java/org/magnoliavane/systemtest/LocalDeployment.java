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
 * Runs a complete deployment as processes on the loopback interface: the platform emulators, the backend servers and
 * the nodes.
 *
 * <p>Thread-safe. {@link #close()} kills every process that the deployment started, by its id.
 */
public final class LocalDeployment implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_BLOCKS = 200;
    private static final int PORTS_PER_BLOCK = 100;

    private final DeploymentSpec spec;
    private final DeploymentOptions options;
    private final Launcher launcher;
    private final ModelSettings modelSettings;
    private final HttpClient client;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Endpoint> operatorEndpoints = new HashMap<>();
    private final Map<String, Map<String, Object>> vms = new LinkedHashMap<>();

    private boolean closed;
    private int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_BLOCKS) * PORTS_PER_BLOCK;

    private LocalDeployment(DeploymentSpec spec, DeploymentOptions options, Launcher launcher) throws IOException {
        this.spec = spec;
        this.options = options;
        this.launcher = launcher;
        this.modelSettings = readModelSettings(spec, options.configurationFile());
        this.client = HttpClient.open("deployment");
    }

    /**
     * Starts a deployment, publishes the example configuration and waits until every node is ready.
     *
     * @param spec the specification of the deployment
     * @param launcher the launcher of the processes
     * @return the deployment
     * @throws IOException when a process cannot be started
     */
    public static LocalDeployment start(DeploymentSpec spec, Launcher launcher) throws IOException {
        return start(spec, DeploymentOptions.of(spec), launcher);
    }

    /**
     * Starts a deployment with another log retention, publishes the example configuration and waits until every node is
     * ready.
     *
     * @param spec the specification of the deployment
     * @param launcher the launcher of the processes
     * @param retentionMillis the time for which the log service keeps a record, in milliseconds
     * @return the deployment
     * @throws IOException when a process cannot be started
     */
    public static LocalDeployment start(DeploymentSpec spec, Launcher launcher, long retentionMillis)
            throws IOException {
        return start(spec, DeploymentOptions.of(spec).withLogRetentionMillis(retentionMillis), launcher);
    }

    /**
     * Starts a deployment, publishes its configuration and waits until every node is ready.
     *
     * @param spec the specification of the deployment
     * @param options the options that differ from the example
     * @param launcher the launcher of the processes
     * @return the deployment
     * @throws IOException when a process cannot be started
     */
    public static LocalDeployment start(DeploymentSpec spec, DeploymentOptions options, Launcher launcher)
            throws IOException {
        LocalDeployment deployment = new LocalDeployment(spec, options, launcher);
        try {
            deployment.startAll();
            return deployment;
        } catch (IOException | RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /**
     * Gets the specification of the deployment.
     *
     * @return the specification
     */
    public DeploymentSpec getSpec() {
        return spec;
    }

    /**
     * Gets the HTTP client of this deployment, which tests may use too.
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
        return operatorEndpoints.get(node);
    }

    /**
     * Gets the ids of the running nodes.
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
     * Kills a node and removes its VM from the VM list.
     *
     * @param node the node id
     */
    public void killNode(String node) {
        getProcess(node).kill();
        synchronized (this) {
            vms.remove(node);
        }
        publishVmList();
    }

    /**
     * Restarts a node under its id, on the same ports, and waits until it is ready.
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
        publishVmList();
        awaitReady(node);
    }

    /**
     * Kills a model worker and starts a replacement under a new VM id and on a new port. The VM list names the killed
     * worker until the replacement listens.
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
        publishVmList();
        return next;
    }

    /**
     * Starts one more node and waits until every node knows the complete deployment.
     *
     * @return the node id
     * @throws IOException when the process cannot be started
     */
    public String addNode() throws IOException {
        int index = getNodes().size();
        synchronized (this) {
            startNode(index);
        }
        publishVmList();
        String id = "entry-" + (index + 1);
        awaitReady(id);
        getNodes().forEach(this::awaitCompleteView);
        return id;
    }

    /**
     * Adds entries to the VM list that share the ports of the running backend servers of a role. Entries that an
     * earlier call added are removed first.
     *
     * @param role {@code prefill}, {@code decode} or {@code plain}
     * @param count the total number of entries of the role; running backend servers stay listed when it is smaller
     */
    public void listWorkers(String role, int count) {
        synchronized (this) {
            List<String> running = processes.keySet().stream()
                    .filter(id -> id.startsWith(role + "-"))
                    .toList();
            vms.keySet().removeIf(id -> id.startsWith(role + "-") && !running.contains(id));
            for (int i = running.size(); i < count; i++) {
                String id = role + "-" + (i + 1);
                vms.put(id, describeWorker(id, role, running.get(i % running.size()), spec.getZone(i)));
            }
        }
        publishVmList();
        getNodes().forEach(this::awaitCompleteView);
    }

    /**
     * Sets the state of a VM to {@code leaving} in the VM list.
     *
     * @param id the VM id
     */
    public void markLeaving(String id) {
        synchronized (this) {
            vms.get(id).put("state", "leaving");
        }
        publishVmList();
    }

    /**
     * Publishes a configuration with the operators' command-line client.
     *
     * @param file the file with the configuration
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
        return process.awaitExit(START_TIMEOUT_MILLIS).orElseThrow();
    }

    /**
     * Asks a node for the version of the configuration in force there.
     *
     * @param node the node id
     * @return the version, or empty when the node does not respond
     */
    public Optional<Long> findConfigurationVersion(String node) {
        try {
            JsonNode status = getOperatorEndpoint(node).getJson("/operator/status");
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
        long deadline = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (System.nanoTime() < deadline) {
            if (isReady(node)) {
                return;
            }
            if (!getProcess(node).isAlive()) {
                break;
            }
            ManagedProcess.sleep(POLL_INTERVAL_MILLIS);
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
        processes.values().forEach(p -> p.awaitExit(START_TIMEOUT_MILLIS));
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
                    endpoint.send(endpoint.createRequest("GET", "/readyz").withTimeoutMillis(1000));
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
        for (int i = 0; i < spec.prefillWorkers(); i++) {
            startEngine("prefill-" + (i + 1), "prefill");
        }
        for (int i = 0; i < spec.decodeWorkers(); i++) {
            startEngine("decode-" + (i + 1), "decode");
        }
        for (int i = 0; i < spec.plainWorkers(); i++) {
            startEmulator("plain-" + (i + 1), "booking");
        }
        for (int i = 0; i < spec.nodes(); i++) {
            startNode(i);
        }
        awaitEmulators(Stream.of("prefill", "decode", "plain")
                .flatMap(r -> processes.keySet().stream().filter(id -> id.startsWith(r + "-")))
                .toList());
        addWorkersToVmList();
        publishVmList();
        int status = publish(options.configurationFile());
        if (status != 0) {
            throw new IllegalStateException("publishing the configuration failed with exit status " + status);
        }
        getNodes().forEach(this::awaitReady);
        getNodes().forEach(this::awaitCompleteView);
    }

    /** Waits until a node knows every node and every backend server in the VM list. */
    private void awaitCompleteView(String node) {
        long deadline = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!hasCompleteView(node)) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException(node + " does not know the complete deployment in time");
            }
            ManagedProcess.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private boolean hasCompleteView(String node) {
        try {
            JsonNode status = getOperatorEndpoint(node).getJson("/operator/status");
            int known =
                    status.path("nodes").size() + status.path("backend_servers").size();
            return known == vms.size();
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts an engine with the capacity and speed that the configuration states. */
    private void startEngine(String id, String role) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(
                "--role",
                role,
                "--models",
                String.join(",", spec.models()),
                "--weights",
                HOST + ":" + endpoints.get("weights").getPort(),
                "--pieces",
                Integer.toString(modelSettings.decodePieces()),
                "--prefill-tokens-per-second",
                Integer.toString(modelSettings.prefillTokensPerSecond()),
                "--link-tokens-per-second",
                Integer.toString(modelSettings.transferTokensPerSecond()),
                "--prefill-lapse-millis",
                Long.toString(modelSettings.prefillLifetimeMillis())));
        arguments.addAll(options.engineOptions());
        startEmulator(id, "engine", arguments.toArray(String[]::new));
    }

    private static ModelSettings readModelSettings(DeploymentSpec spec, Path file) throws IOException {
        String text = Files.readString(file);
        return ConfigurationText.parse(text, 1)
                .getOrElseThrow(problems -> new IllegalStateException(problems.toString()))
                .services()
                .get(spec.modelService())
                .model()
                .orElseThrow();
    }

    private void startEmulator(String id, String command, String... options) throws IOException {
        processes.put(id, launcher.startEmulator(id, command, options));
    }

    private void awaitEmulators(List<String> ids) {
        for (String id : ids) {
            String[] address = getProcess(id)
                    .awaitLine("listening ", START_TIMEOUT_MILLIS)
                    .trim()
                    .split(" ");
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
        operatorEndpoints.put(id, new Endpoint(client, HOST, ports.get(2)));
        vms.put(id, describeNode(index, ports.get(1)));
        Files.writeString(launcher.getSettingsFile(id), formatSettings(id, spec.getZone(index), ports));
        processes.put(id, launcher.startNode(id));
    }

    private String formatSettings(String id, String zone, List<Integer> ports) {
        return String.join(
                "\n",
                "[node]",
                "id = \"" + id + "\"",
                "zone = \"" + zone + "\"",
                "cluster = \"" + spec.name() + "\"",
                "[listen]",
                "host = \"" + HOST + "\"",
                "caller_port = " + ports.get(0),
                "peer_port = " + ports.get(1),
                "operator_port = " + ports.get(2),
                "[platform]",
                "log = \"" + getUrlForNodes("log") + "\"",
                "vm_list = \"" + getUrlForNodes("vmlist") + "\"",
                "log_retention_millis = " + options.logRetentionMillis(),
                "vm_list_poll_millis = 300",
                "[logging]",
                "level = \"info\"",
                "format = \"text\"",
                "");
    }

    private Map<String, Object> describeNode(int index, int peerPort) {
        String id = "entry-" + (index + 1);
        return describeVm(
                id,
                spec.getZone(index),
                Map.of(
                        "role",
                        "entry",
                        "caller_port",
                        Integer.toString(endpoints.get(id).getPort()),
                        "peer_port",
                        Integer.toString(options.ports().mapPort("peer", peerPort)),
                        "operator_port",
                        Integer.toString(operatorEndpoints.get(id).getPort())));
    }

    private Map<String, Object> describeNode(int index) throws IOException {
        String id = "entry-" + (index + 1);
        String line = Files.readAllLines(launcher.getSettingsFile(id)).stream()
                .filter(l -> l.startsWith("peer_port"))
                .findFirst()
                .orElseThrow();
        return describeNode(index, Integer.parseInt(line.substring(line.indexOf('=') + 2)));
    }

    private void addWorkersToVmList() {
        for (String role : List.of("prefill", "decode", "plain")) {
            List<String> ids = processes.keySet().stream()
                    .filter(id -> id.startsWith(role + "-"))
                    .toList();
            for (int i = 0; i < ids.size(); i++) {
                vms.put(ids.get(i), describeWorker(ids.get(i), role, ids.get(i), spec.getZone(i)));
            }
        }
    }

    /** Creates the VM list entry of a worker. Several workers may share the port of one process. */
    private Map<String, Object> describeWorker(String id, String role, String process, String zone) {
        String service = role.equals("plain") ? spec.plainService() : spec.modelService();
        int port = options.ports().mapPort(role, endpoints.get(process).getPort());
        return describeVm(
                id,
                zone,
                Map.of("role", "backend", "service", service, "port", Integer.toString(port), "worker_role", role));
    }

    private String getUrlForNodes(String id) {
        return "http://" + HOST + ":"
                + options.ports().mapPort(id, endpoints.get(id).getPort());
    }

    private static Map<String, Object> describeVm(String id, String zone, Map<String, String> tags) {
        Map<String, Object> vm = new LinkedHashMap<>();
        vm.put("id", id);
        vm.put("address", HOST);
        vm.put("zone", zone);
        vm.put("state", "live");
        vm.put("tags", tags);
        return vm;
    }

    private synchronized void publishVmList() {
        try {
            HttpResponse response = endpoints
                    .get("vmlist")
                    .send("PUT", "/control/vms", Map.of("vms", new ArrayList<>(vms.values())), Map.of());
            if (response.status() >= 300) {
                throw new IllegalStateException(
                        "VM list returned status " + response.status() + ": " + response.getText());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Finds free ports below the range of ephemeral ports. A free port within that range could be assigned to an
     * outgoing connection before the node listens on it.
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
