package org.magnoliavane.router.dispatch;

import java.util.Map;
import java.util.Optional;

import org.magnoliavane.Fault;
import org.magnoliavane.http.server.StreamWriter;

/**
 * Sends the response to a caller's request. Only the first call that starts a response has an effect.
 *
 * <p>Implementations are thread-safe.
 */
public interface CallerResponse {

    /**
     * Sends a complete response.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    void send(int status, Map<String, String> headers, byte[] body);

    /**
     * Starts a streamed response.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return the writer of the body; empty if a response was started before
     */
    Optional<StreamWriter> beginStream(int status, Map<String, String> headers);

    /**
     * Sends an error response of the router.
     *
     * @param fault the fault
     */
    void fail(Fault fault);

    /** Closes the connection, so that the caller detects that a streamed response is incomplete. */
    void abort();

    /** Closes the connection if a streamed response has begun and nobody has ended it. */
    void abortUnfinishedStream();

    /**
     * Sets the task that runs when the caller closes the connection before its response is complete, and when the request
     * has passed its limit without a response.
     *
     * @param task the task, which may run more than once; immediately if the caller has already disconnected
     */
    void onDisconnect(Runnable task);

    /**
     * Adds a task that runs when the response is complete or the caller has disconnected.
     *
     * @param task the task, which runs once; immediately if that is the case already
     */
    void onComplete(Runnable task);

    /**
     * Records that the request is about to be sent to a worker.
     *
     * @return false if the request must not be sent, because it was answered as not run
     */
    default boolean permitSending() {
        return true;
    }

    /**
     * Prevents that the request is sent to a worker, so that it can be answered as not run.
     *
     * @return false if it may have been sent already
     */
    default boolean withdrawUnsent() {
        return false;
    }

    /**
     * Returns whether the request was ended because it had passed its limit without a response.
     *
     * @return whether the request has expired
     */
    default boolean isExpired() {
        return false;
    }
}
