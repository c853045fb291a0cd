package org.magnoliavane.router.dispatch;

import java.util.Map;
import java.util.Optional;

import org.magnoliavane.Fault;
import org.magnoliavane.http.server.StreamWriter;

/**
 * Takes the answer to a caller's request. Only the first of the calls that begin an answer has an effect.
 *
 * <p>Implementations are thread-safe.
 */
public interface CallerResponse {

    /**
     * Sends a whole answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    void send(int status, Map<String, String> headers, byte[] body);

    /**
     * Begins a streamed answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return takes the body; empty when an answer was begun before
     */
    Optional<StreamWriter> beginStream(int status, Map<String, String> headers);

    /**
     * Sends an error of the router's own.
     *
     * @param fault the error
     */
    void fail(Fault fault);

    /** Closes the connection, so that a streamed answer cannot be taken for complete. */
    void abort();

    /**
     * Sets what is done when the caller closes the connection before its answer is complete.
     *
     * @param task runs at most once; at once when the caller has gone already
     */
    void onDisconnect(Runnable task);
}
