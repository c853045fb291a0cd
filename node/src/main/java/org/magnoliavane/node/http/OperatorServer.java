package org.magnoliavane.node.http;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.http.server.NoUpgradeFilter;
import org.magnoliavane.json.Json;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.node.decision.Decision;
import org.magnoliavane.router.front.FaultBody;

/**
 * Serves status, configuration and decisions of the node to operators. All resources are read-only.
 *
 * <p>Thread-safe.
 */
public final class OperatorServer implements AutoCloseable {
    private static final String EXPLAIN_PREFIX = "/operator/explain/";

    private final CallerContext context;
    private final CallerServer callers;
    private final Supplier<Optional<ConfigurationVersion>> configurationSource;
    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;

    private OperatorServer(
            CallerContext context,
            CallerServer callers,
            Supplier<Optional<ConfigurationVersion>> configurationSource,
            String host,
            int port)
            throws IOException {
        this.context = context;
        this.callers = callers;
        this.configurationSource = configurationSource;
        this.listener = new NetworkListener("operators", host, port);
        NoUpgradeFilter.addTo(listener);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new RequestHandler(), "/");
        server.start();
    }

    /**
     * Starts the server.
     *
     * @param context the dependencies of both servers
     * @param callers the server of this node for callers
     * @param configurationSource gets the configuration version in force
     * @param host the IP address to listen on
     * @param port the TCP port to listen on; 0 selects a free port
     * @return the server
     * @throws IOException when the server cannot listen
     */
    public static OperatorServer open(
            CallerContext context,
            CallerServer callers,
            Supplier<Optional<ConfigurationVersion>> configurationSource,
            String host,
            int port)
            throws IOException {
        return new OperatorServer(context, callers, configurationSource, host, port);
    }

    /**
     * Gets the port.
     *
     * @return the TCP port on which operators are served
     */
    public int getPort() {
        return listener.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private ObjectNode createStatus() {
        ClusterView view = context.view().get();
        ObjectNode status = Json.object()
                .put("node", context.self().node())
                .put("run", context.self().toString())
                .put("zone", view.self().zone())
                .put("configuration_version", context.configuration().get().version())
                .put("leaving", callers.isShuttingDown())
                .put("active_requests", callers.getActiveRequestCount())
                .put("active_model_requests", context.models().countRunning());
        addNodes(status.putArray("nodes"), view);
        addServers(status.putArray("backend_servers"), view);
        return status;
    }

    private static void addNodes(ArrayNode list, ClusterView view) {
        view.nodes()
                .forEach(n -> list.addObject()
                        .put("run", n.run().toString())
                        .put("host", n.host())
                        .put("caller_port", n.callerPort())
                        .put("peer_port", n.peerPort())
                        .put("operator_port", n.operatorPort())
                        .put("zone", n.zone())
                        .put("leaving", n.leaving()));
    }

    private static void addServers(ArrayNode list, ClusterView view) {
        view.servers()
                .forEach(s -> list.addObject()
                        .put("id", s.id())
                        .put("service", s.service())
                        .put("role", s.role().toWire())
                        .put("host", s.host())
                        .put("port", s.port())
                        .put("zone", s.zone())
                        .put("leaving", s.leaving()));
    }

    private Optional<ObjectNode> findExplanation(String request) {
        List<Decision> found = context.decisions().find(request);
        if (found.isEmpty()) {
            return Optional.empty();
        }
        ObjectNode body =
                Json.object().put("request", request).put("node", context.self().toString());
        ArrayNode list = body.putArray("decisions");
        found.forEach(d -> list.addObject()
                .put("at_millis", d.atMillis())
                .put("stage", d.stage())
                .put("considered", d.considered())
                .put("chosen", d.chosen())
                .put("reason", d.reason()));
        return Optional.of(body);
    }

    private Optional<ObjectNode> findConfiguration() {
        return configurationSource
                .get()
                .map(t -> Json.object()
                        .put("version", t.version())
                        .put("offset", t.offset())
                        .put("text", t.text()));
    }

    private Optional<ObjectNode> findResource(String method, String path) {
        if (!method.equals("GET")) {
            return Optional.empty();
        }
        if (path.startsWith(EXPLAIN_PREFIX)) {
            return findExplanation(path.substring(EXPLAIN_PREFIX.length()));
        }
        switch (path) {
            case "/operator/status":
                return Optional.of(createStatus());
            case "/operator/configuration":
                return findConfiguration();
            default:
                return Optional.empty();
        }
    }

    private static Fault notFound(String path) {
        String remedy = path.startsWith(EXPLAIN_PREFIX)
                ? "ask the node that accepted the request; only the newest decisions are kept"
                : "use GET /operator/status, /operator/explain/{request} or /operator/configuration";
        return Fault.notRun(FaultKind.NOT_FOUND, "no resource at " + path, remedy);
    }

    /** Receives requests from Grizzly. */
    private final class RequestHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws IOException {
            String path = request.getRequestURI();
            Optional<ObjectNode> body = findResource(request.getMethod().getMethodString(), path);
            response.setStatus(body.isPresent() ? 200 : 404);
            response.setContentType("application/json");
            byte[] bytes = Json.write(body.orElseGet(() -> FaultBody.toJson(notFound(path), "")));
            response.setContentLength(bytes.length);
            response.getOutputStream().write(bytes);
        }
    }
}
