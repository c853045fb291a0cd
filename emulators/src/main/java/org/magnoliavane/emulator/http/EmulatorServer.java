package org.magnoliavane.emulator.http;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Serves the routes of an emulator over HTTP. Requests are handled asynchronously, so that a delayed response occupies
 * no thread.
 *
 * <p>Thread-safe.
 */
public final class EmulatorServer implements AutoCloseable {
    private static final int WORKER_THREADS = 4;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final HttpServer server;
    private final NetworkListener listener;
    private final UnresponsiveConnections unresponsiveConnections;

    private EmulatorServer(
            HttpServer server, NetworkListener listener, UnresponsiveConnections unresponsiveConnections) {
        this.server = server;
        this.listener = listener;
        this.unresponsiveConnections = unresponsiveConnections;
    }

    /**
     * Starts a server.
     *
     * @param name the name of the listener and its threads
     * @param host the address to listen on
     * @param port the port to listen on; 0 picks a free one
     * @param routes the routes
     * @return the server
     * @throws IOException when the address cannot be bound
     */
    public static EmulatorServer start(String name, String host, int port, Routes routes) throws IOException {
        HttpServer server = new HttpServer();
        NetworkListener listener = new NetworkListener(name, host, port);
        UnresponsiveConnections unresponsiveConnections = new UnresponsiveConnections();
        TCPNIOTransport transport = listener.getTransport();
        transport.setSelectorRunnersCount(1);
        transport.setTcpNoDelay(true);
        transport.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                .setPoolName(name)
                .setDaemon(true)
                .setCorePoolSize(WORKER_THREADS)
                .setMaxPoolSize(WORKER_THREADS));
        transport.getConnectionMonitoringConfig().addProbes(unresponsiveConnections);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new RoutingHandler(routes, unresponsiveConnections), "/");
        server.start();
        return new EmulatorServer(server, listener, unresponsiveConnections);
    }

    /**
     * Gets the port that is bound.
     *
     * @return the TCP port
     */
    public int getPort() {
        return listener.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /** Reads the body of each request and passes the request to the handler of its route. */
    private static final class RoutingHandler extends HttpHandler {
        private static final System.Logger LOGGER = System.getLogger(EmulatorServer.class.getName());

        private final Routes routes;
        private final UnresponsiveConnections unresponsiveConnections;

        RoutingHandler(Routes routes, UnresponsiveConnections unresponsiveConnections) {
            this.routes = routes;
            this.unresponsiveConnections = unresponsiveConnections;
        }

        @Override
        public void service(Request request, Response response) throws IOException {
            if (unresponsiveConnections.isUnresponsive(request.getContext().getConnection())) {
                response.suspend();
                return;
            }
            byte[] body = request.getInputStream().readAllBytes();
            String method = request.getMethod().getMethodString();
            Optional<Routes.Match> match = routes.find(method, request.getRequestURI());
            ServerExchange exchange = new ServerExchange(
                    request,
                    response,
                    unresponsiveConnections,
                    body,
                    match.map(Routes.Match::pathValues).orElse(Map.of()));
            response.suspend();
            if (match.isEmpty()) {
                String message = "no route for " + method + " " + request.getRequestURI();
                exchange.sendError(new ErrorResponse(NOT_FOUND, "not_found", message));
                return;
            }
            handle(match.get().handler(), exchange);
        }

        private static void handle(ExchangeHandler handler, ServerExchange exchange) {
            try {
                handler.handle(exchange);
            } catch (IOException | IllegalArgumentException e) {
                exchange.sendError(ErrorResponse.badRequest(e.getMessage()));
            } catch (RuntimeException e) {
                LOGGER.log(System.Logger.Level.WARNING, "emulator failed to handle a request", e);
                exchange.sendError(new ErrorResponse(INTERNAL_SERVER_ERROR, "internal", e.toString()));
            }
        }
    }
}
