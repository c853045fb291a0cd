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

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/**
 * Sends HTTP requests, each on a connection of its own. Closing the exchange closes its connection, so that the server
 * learns at once that nobody waits for the answer.
 *
 * <p>Thread-safe.
 */
public final class HttpClient implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 1000;

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
                        .add(new ExactEndFilter(this::connectionEnded))
                        .add(new HttpClientFilter())
                        .add(new ExchangeFilter())
                        .build())
                .build();
        timers = DaemonTimers.open(name + "-timers", 1);
        transport.start();
    }

    /**
     * Opens a client with a transport of its own.
     *
     * @param name the name of its threads
     * @return the client
     * @throws IOException when the transport cannot be started
     */
    public static HttpClient open(String name) throws IOException {
        return open(name, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Opens a client with a transport of its own.
     *
     * @param name the name of its threads
     * @param connectTimeoutMillis the longest time that the opening of a connection may take
     * @return the client
     * @throws IOException when the transport cannot be started
     */
    public static HttpClient open(String name, long connectTimeoutMillis) throws IOException {
        return new HttpClient(name, connectTimeoutMillis);
    }

    /**
     * Sends a request and collects the whole response.
     *
     * @param request the request
     * @return the response; fails with {@link ConnectException} when nothing was sent, with another
     *     {@link IOException} when the request may have reached the server
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        HttpExchange exchange = stream(request, new Collector(result));
        result.whenComplete((response, cause) -> {
            if (result.isCancelled()) {
                exchange.close();
            }
        });
        return result;
    }

    /**
     * Sends a request and hands the response to a listener as it arrives.
     *
     * @param request the request
     * @param listener the listener
     * @return the exchange, which can be closed at any time
     */
    public HttpExchange stream(HttpRequest request, ResponseListener listener) {
        HttpExchange exchange = new HttpExchange(listener);
        if (request.timeoutMillis() > 0) {
            exchange.setTimeout(timers.schedule(
                    () -> exchange.fail(new SocketTimeoutException(
                            "no complete response within " + request.timeoutMillis() + " ms")),
                    request.timeoutMillis(),
                    TimeUnit.MILLISECONDS));
        }
        // The transport's own timeout does not cover connections that are opened without waiting.
        exchange.setConnectTimeout(timers.schedule(
                () -> exchange.failUnlessSending(new ConnectException("no connection to " + request.host() + ":"
                        + request.port() + " within " + connectTimeoutMillis + " ms")),
                connectTimeoutMillis,
                TimeUnit.MILLISECONDS));
        transport.connect(new InetSocketAddress(request.host(), request.port()), new ConnectHandler(request, exchange));
        return exchange;
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        transport.shutdownNow();
    }

    private void connectionEnded(Connection<?> connection, boolean orderly) {
        HttpExchange exchange = exchanges.get(connection);
        if (exchange != null) {
            exchange.closed(orderly);
        }
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

    /** Writes the request once the connection is open. */
    private final class ConnectHandler extends EmptyCompletionHandler<Connection> {
        private final HttpRequest request;
        private final HttpExchange exchange;

        ConnectHandler(HttpRequest request, HttpExchange exchange) {
            this.request = request;
            this.exchange = exchange;
        }

        @Override
        @SuppressWarnings("unchecked")
        public void completed(Connection connection) {
            exchanges.set(connection, exchange);
            exchange.attach(connection);
            if (!exchange.beginSend()) {
                connection.closeSilently();
                return;
            }
            connection.write(toContent(request), new EmptyCompletionHandler<Object>() {
                @Override
                public void failed(Throwable cause) {
                    exchange.fail(new IOException("request could not be written", cause));
                }
            });
            if (!connection.isOpen()) {
                exchange.fail(new IOException("connection closed by the server"));
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

    /** Hands parts of responses to their exchanges. */
    private final class ExchangeFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpExchange exchange = exchanges.get(context.getConnection());
            if (exchange != null) {
                exchange.receive(context.getMessage());
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            HttpExchange exchange = exchanges.get(context.getConnection());
            if (exchange != null) {
                exchange.fail(new IOException("connection closed by the server"));
            }
            return context.getInvokeAction();
        }
    }

    /** Collects a whole response. */
    private static final class Collector implements ResponseListener {
        private final CompletableFuture<HttpResponse> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Map<String, String> headers = Map.of();

        Collector(CompletableFuture<HttpResponse> result) {
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
