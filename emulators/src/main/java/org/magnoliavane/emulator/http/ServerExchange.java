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
 * Holds one request and answers it once, from any thread.
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
            UnresponsiveConnections silent,
            byte[] body,
            Map<String, String> pathValues) {
        this.request = request;
        this.response = response;
        this.connection = request.getContext().getConnection();
        this.unresponsiveConnections = silent;
        this.body = body;
        this.pathValues = pathValues;
    }

    /**
     * Gets the value of a variable part of the path.
     *
     * @param name the name in the route
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
     * Gets a whole-number query parameter.
     *
     * @param name the name
     * @param absent the value when the request lacks it
     * @return the value
     * @throws IllegalArgumentException when it is not a whole number
     */
    public long getLongParameter(String name, long absent) {
        String text = request.getParameter(name);
        if (text == null) {
            return absent;
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
     * Parses a JSON request body in which unknown fields are an error.
     *
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException when the body is not valid for the type
     */
    public <T> T parseBodyStrictly(Class<T> type) throws IOException {
        return Json.parseStrictly(body, type);
    }

    /**
     * Runs an action when the connection closes before the call is answered.
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
     * Answers with a JSON body.
     *
     * @param status the HTTP status code
     * @param value the body
     */
    public void send(int status, Object value) {
        byte[] bytes = Json.toBytes(value);
        send(status, "application/json", bytes);
    }

    /**
     * Answers with an error.
     *
     * @param refusal the error
     */
    public void sendError(ErrorResponse refusal) {
        send(refusal.status(), refusal.toBody());
    }

    /**
     * Silences every connection of the server that is open now, except the one of this call. To be called before this
     * call is answered, so that connections opened after the answer work.
     */
    public void makeOtherConnectionsUnresponsive() {
        unresponsiveConnections.markUnresponsive(connection);
    }

    /** Closes the connection without an answer. */
    public void closeWithoutResponse() {
        if (responded.compareAndSet(false, true)) {
            connection.terminateSilently();
        }
    }

    /**
     * Starts an event stream as the answer.
     *
     * @param closed runs when the connection closes before the stream ends
     * @return the stream
     */
    public EventStream startEventStream(Runnable closed) {
        responded.set(true);
        EventStream stream = new EventStream(response, () -> unresponsiveConnections.isUnresponsive(connection));
        addCloseListener((gone, type) -> {
            if (stream.markClosed()) {
                closed.run();
            }
        });
        return stream;
    }

    /**
     * Starts an answer of a known length that is written piece by piece.
     *
     * @param length the number of bytes
     * @return the stream
     */
    public ByteStream startByteStream(long length) {
        responded.set(true);
        ByteStream stream = new ByteStream(response, length, () -> unresponsiveConnections.isUnresponsive(connection));
        addCloseListener((gone, type) -> stream.markClosed());
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
            LOGGER.log(System.Logger.Level.DEBUG, "answer not written: {0}", e.getMessage());
        }
        response.resume();
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void addCloseListener(CloseListener listener) {
        connection.addCloseListener(listener);
        try {
            // Without interest in reads, Grizzly does not see the close of a connection whose handler is suspended.
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }
}
