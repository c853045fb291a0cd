package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/**
 * Sends HTTP requests, each on its own connection. Closing an exchange closes its connection, which tells the server at
 * once that the response is no longer needed.
 *
 * <p>Thread-safe.
 */
public final class HttpClient implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 1000;

    /** Largest response that is collected as a whole; a faulty server may send bytes without end. */
    private static final int MAX_COLLECTED_BYTES = 32 << 20;

    private final TCPNIOTransport transport;
    private final Attribute<HttpExchange> exchanges;
    private final ScheduledThreadPoolExecutor timers;
    private final long connectTimeoutMillis;

    private HttpClient(String name, long connectTimeoutMillis) throws IOException {
        this.connectTimeoutMillis = connectTimeoutMillis;
        exchanges = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("magnoliavane.exchange." + name);
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setTcpNoDelay(true)
                .setProcessor(FilterChainBuilder.stateless()
                        .add(new ResetDetectingFilter(this::handleConnectionEnd))
                        .add(new ResponseGrammarFilter(exchanges::get))
                        .add(new InterimResponseFilter())
                        .add(new ExchangeFilter())
                        .build())
                .build();
        timers = DaemonTimers.open(name + "-timers", 1);
        transport.start();
    }

    /**
     * Opens a client with its own transport and a connect timeout of 1000 ms.
     *
     * @param name the name of the threads
     * @return the client
     * @throws IOException if the transport cannot be started
     */
    public static HttpClient open(String name) throws IOException {
        return open(name, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Opens a client with its own transport.
     *
     * @param name the name of the threads
     * @param connectTimeoutMillis the timeout in milliseconds for establishing a connection
     * @return the client
     * @throws IOException if the transport cannot be started
     */
    public static HttpClient open(String name, long connectTimeoutMillis) throws IOException {
        return new HttpClient(name, connectTimeoutMillis);
    }

    /**
     * Sends a request and collects the whole response.
     *
     * @param request the request
     * @return a future of the response, whose cancellation closes the connection; fails with an {@link IOException} if the
     *     response is too large, with
     *     {@link ConnectException} if nothing was sent, or with another {@link IOException} if the server may have
     *     received the request
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        HttpExchange exchange = stream(request, new ResponseCollector(result));
        result.whenComplete((response, cause) -> {
            if (cause != null) {
                exchange.close();
            }
        });
        return result;
    }

    /**
     * Sends a request and passes the response to a listener as it is received.
     *
     * @param request the request
     * @param listener receives the response
     * @return the exchange, which may be closed at any time
     */
    public HttpExchange stream(HttpRequest request, ResponseListener listener) {
        return stream(request, listener, () -> true);
    }

    /**
     * Sends a request and passes the response to a listener as it is received.
     *
     * @param request the request
     * @param listener receives the response; a {@link WithdrawnException} if the request was not sent
     * @param maySend checked when the connection is established, immediately before the first byte is sent; if it is false,
     *     nothing is sent
     * @return the exchange, which may be closed at any time
     */
    public HttpExchange stream(HttpRequest request, ResponseListener listener, BooleanSupplier maySend) {
        HttpExchange exchange = new HttpExchange(request, listener, timers);
        if (request.timeoutMillis() > 0) {
            exchange.setTimeout(timers.schedule(
                    () -> exchange.fail(new SocketTimeoutException(
                            "no complete response within " + request.timeoutMillis() + " ms")),
                    request.timeoutMillis(),
                    TimeUnit.MILLISECONDS));
        }
        // Grizzly's connect timeout applies only to blocking connects.
        exchange.setConnectTimeout(timers.schedule(
                () -> exchange.failUnlessSendingStarted(new ConnectException("no connection to " + request.host() + ":"
                        + request.port() + " within " + connectTimeoutMillis + " ms")),
                connectTimeoutMillis,
                TimeUnit.MILLISECONDS));
        transport.connect(
                new InetSocketAddress(request.host(), request.port()), new ConnectHandler(request, exchange, maySend));
        return exchange;
    }

    /**
     * Opens a connection to a server and closes it at once, to find out whether its process still listens.
     *
     * @param host the address of the server
     * @param port the port
     * @return a future of the result, which never fails
     */
    public CompletableFuture<ConnectResult> check(String host, int port) {
        return check(host, port, 0);
    }

    /**
     * Opens a connection to a server and closes it after a time. The host of a process that is ending may accept connections
     * until it has closed the port, and closes them with it.
     *
     * @param host the address of the server
     * @param port the port
     * @param heldMillis the time in milliseconds for which the connection is kept open
     * @return a future of the result, which never fails
     */
    public CompletableFuture<ConnectResult> check(String host, int port, long heldMillis) {
        CompletableFuture<ConnectResult> result = new CompletableFuture<>();
        timers.schedule(
                () -> result.complete(ConnectResult.NO_RESPONSE),
                connectTimeoutMillis + heldMillis,
                TimeUnit.MILLISECONDS);
        transport.connect(new InetSocketAddress(host, port), new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                if (heldMillis == 0) {
                    acceptAndClose(connection);
                    return;
                }
                connection.addCloseListener((closed, type) -> result.complete(ConnectResult.CLOSED));
                timers.schedule(() -> acceptAndClose(connection), heldMillis, TimeUnit.MILLISECONDS);
            }

            private void acceptAndClose(Connection<?> connection) {
                result.complete(ConnectResult.ACCEPTED);
                connection.closeSilently();
            }

            @Override
            public void failed(Throwable cause) {
                result.complete(cause instanceof ConnectException ? ConnectResult.REFUSED : ConnectResult.NO_RESPONSE);
            }
        });
        return result;
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        transport.shutdownNow();
    }

    private boolean handleConnectionEnd(Connection<?> connection, boolean orderly) {
        HttpExchange exchange = exchanges.get(connection);
        return exchange != null && exchange.handleConnectionEnd(orderly);
    }

    private static HttpContent toContent(HttpRequest request) {
        HttpRequestPacket.Builder head = HttpRequestPacket.builder()
                .method(request.method())
                .uri(request.path())
                .protocol(Protocol.HTTP_1_1)
                .host(request.headers().getOrDefault("Host", request.host() + ":" + request.port()))
                .contentLength(request.body().length);
        request.headers().forEach((name, value) -> {
            if (!name.equals("Host")) {
                head.header(name, value);
            }
        });
        return head.build()
                .httpContentBuilder()
                .content(Buffers.wrap(null, request.body()))
                .last(true)
                .build();
    }

    /** Writes the request once the connection is established. */
    private final class ConnectHandler extends EmptyCompletionHandler<Connection> {
        private final HttpRequest request;
        private final HttpExchange exchange;
        private final BooleanSupplier maySend;

        ConnectHandler(HttpRequest request, HttpExchange exchange, BooleanSupplier maySend) {
            this.request = request;
            this.exchange = exchange;
            this.maySend = maySend;
        }

        @Override
        public void completed(Connection connection) {
            exchanges.set(connection, exchange);
            exchange.attach(connection);
            try {
                send(connection);
            } catch (RuntimeException | Error e) {
                Failures.recordSurvived("send", e);
                exchange.failUnlessSendingStarted(new WithdrawnException("the request could not be prepared"));
                exchange.fail(new IOException("failed to send the request", e));
            }
        }

        @SuppressWarnings("unchecked")
        private void send(Connection connection) {
            if (!maySend.getAsBoolean()) {
                exchange.failUnlessSendingStarted(
                        new WithdrawnException("the request was withdrawn while its connection was being established"));
            }
            if (!connection.isOpen()) {
                exchange.failUnlessSendingStarted(
                        new WithdrawnException("the connection was closed before the request was sent"));
            }
            if (!exchange.tryStartSending()) {
                connection.closeSilently();
                return;
            }
            connection.write(toContent(request), new EmptyCompletionHandler<Object>() {
                @Override
                public void completed(Object written) {
                    exchange.handleRequestWritten();
                }

                @Override
                public void failed(Throwable cause) {
                    exchange.failAfterReceived(new IOException("failed to write the request", cause));
                }

                @Override
                public void cancelled() {
                    exchange.failAfterReceived(new IOException("writing the request was cancelled"));
                }
            });
            if (!connection.isOpen()) {
                exchange.failAfterReceived(new IOException("connection closed by the server"));
            }
        }

        @Override
        public void failed(Throwable cause) {
            ConnectException failure = new ConnectException(
                    "no connection to " + request.host() + ":" + request.port() + ": " + cause.getMessage());
            failure.initCause(cause);
            exchange.fail(failure);
        }
    }

    /** Passes received parts of responses to their exchanges. */
    private final class ExchangeFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpExchange exchange = exchanges.get(context.getConnection());
            receive(exchange, context.getMessage());
            NextAction suspend = context.getSuspendAction();
            return exchange.trySuspend(context) ? suspend : context.getStopAction();
        }

        private void receive(HttpExchange exchange, HttpContent content) {
            try {
                exchange.receive(content);
            } catch (RuntimeException | Error e) {
                Failures.recordSurvived("receive", e);
                exchange.fail(new IOException("the response could not be received", e));
            }
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            HttpExchange exchange = exchanges.get(context.getConnection());
            if (exchange != null) {
                exchange.failAfterReceived(new IOException("connection closed by the server"));
            }
            return context.getInvokeAction();
        }
    }

    /** Collects a complete response. */
    private static final class ResponseCollector implements ResponseListener {
        private final CompletableFuture<HttpResponse> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Map<String, String> headers = Map.of();

        ResponseCollector(CompletableFuture<HttpResponse> result) {
            this.result = result;
        }

        @Override
        public void onHead(int responseStatus, Map<String, String> responseHeaders) {
            status = responseStatus;
            headers = responseHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            body.writeBytes(bytes);
            if (body.size() > MAX_COLLECTED_BYTES) {
                result.completeExceptionally(
                        new IOException("the response is larger than " + MAX_COLLECTED_BYTES + " bytes"));
            }
        }

        @Override
        public void onEnd() {
            result.complete(new HttpResponse(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailure(IOException cause) {
            result.completeExceptionally(cause);
        }
    }
}
