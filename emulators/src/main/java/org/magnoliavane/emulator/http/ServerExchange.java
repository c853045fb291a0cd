package org.magnoliavane.emulator.http;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Holds a request and sends its response, at most once and from any thread.
 *
 * <p>Thread-safe.
 */
public final class ServerExchange {
    private static final System.Logger LOGGER = System.getLogger(ServerExchange.class.getName());

    private final Request request;
    private final Response response;
    private final Connection<?> connection;
    private final UnresponsiveConnections unresponsiveConnections;
    private final byte[] body;
    private final Map<String, String> pathValues;
    private final AtomicBoolean responded = new AtomicBoolean();

    ServerExchange(
            Request request,
            Response response,
            UnresponsiveConnections unresponsiveConnections,
            byte[] body,
            Map<String, String> pathValues) {
        this.request = request;
        this.response = response;
        this.connection = request.getContext().getConnection();
        this.unresponsiveConnections = unresponsiveConnections;
        this.body = body;
        this.pathValues = pathValues;
    }

    /**
     * Gets the value of a path variable.
     *
     * @param name the name of the variable in the route template
     * @return the value
     */
    public String getPathValue(String name) {
        return pathValues.get(name);
    }

    /**
     * Finds a request header.
     *
     * @param name the name
     * @return the value, or empty when the request lacks it
     */
    public Optional<String> findHeader(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    /**
     * Finds a query parameter.
     *
     * @param name the name
     * @return the value, or empty when the request lacks it
     */
    public Optional<String> findParameter(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    /**
     * Gets a query parameter that is a whole number.
     *
     * @param name the name
     * @param defaultValue the value when the request lacks the parameter
     * @return the value
     * @throws IllegalArgumentException when it is not a whole number
     */
    public long getLongParameter(String name, long defaultValue) {
        String text = request.getParameter(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " must be a whole number, got " + text, e);
        }
    }

    /**
     * Gets the request body.
     *
     * @return the bytes; may be empty
     */
    public byte[] getBody() {
        return body;
    }

    /**
     * Parses the JSON request body.
     *
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException when the body is not valid for the type
     */
    public <T> T parseBody(Class<T> type) throws IOException {
        return Json.parse(body, type);
    }

    /**
     * Parses the JSON request body and rejects unknown fields.
     *
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException when the body is not valid for the type or has an unknown field
     */
    public <T> T parseBodyStrictly(Class<T> type) throws IOException {
        return Json.parseStrictly(body, type);
    }

    /**
     * Runs an action when the connection is closed before the response is sent.
     *
     * @param action the action; it runs on a server thread
     */
    public void onClose(Runnable action) {
        CloseListener<Connection<?>, ICloseType> listener = (closed, type) -> {
            if (!responded.get()) {
                action.run();
            }
        };
        addCloseListener(listener);
    }

    /**
     * Sends a response with a JSON body.
     *
     * @param status the HTTP status code
     * @param value the value that is written as the body
     */
    public void send(int status, Object value) {
        byte[] bytes = Json.toBytes(value);
        send(status, "application/json", bytes);
    }

    /**
     * Sends an error response.
     *
     * @param error the error
     */
    public void sendError(ErrorResponse error) {
        send(error.status(), error.toBody());
    }

    /**
     * Makes every open connection of the server unresponsive, except the one of this exchange. Must be called before
     * the response is sent, so that connections opened after the response work.
     */
    public void makeOtherConnectionsUnresponsive() {
        unresponsiveConnections.markUnresponsive(connection);
    }

    /** Closes the connection without a response. */
    public void closeWithoutResponse() {
        if (responded.compareAndSet(false, true)) {
            connection.terminateSilently();
        }
    }

    /**
     * Starts a response that is an event stream.
     *
     * @param closed runs when the connection is closed before the stream has ended
     * @return the stream
     */
    public EventStream startEventStream(Runnable closed) {
        responded.set(true);
        EventStream stream = new EventStream(response, () -> unresponsiveConnections.isUnresponsive(connection));
        addCloseListener((source, type) -> {
            if (stream.markClosed()) {
                closed.run();
            }
        });
        return stream;
    }

    /**
     * Starts a response of known length whose body is written in parts.
     *
     * @param length the number of bytes
     * @return the stream
     */
    public ByteStream startByteStream(long length) {
        responded.set(true);
        ByteStream stream = new ByteStream(response, length, () -> unresponsiveConnections.isUnresponsive(connection));
        addCloseListener((source, type) -> stream.markClosed());
        return stream;
    }

    private void send(int status, String contentType, byte[] bytes) {
        if (!responded.compareAndSet(false, true) || unresponsiveConnections.isUnresponsive(connection)) {
            return;
        }
        try {
            response.setStatus(status);
            response.setContentType(contentType);
            response.setContentLength(bytes.length);
            response.getNIOOutputStream().write(bytes);
        } catch (IOException e) {
            LOGGER.log(System.Logger.Level.DEBUG, "response not written: {0}", e.getMessage());
        }
        response.resume();
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void addCloseListener(CloseListener listener) {
        connection.addCloseListener(listener);
        try {
            // Without read interest, Grizzly does not detect that the connection of a suspended response is closed.
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }
}
