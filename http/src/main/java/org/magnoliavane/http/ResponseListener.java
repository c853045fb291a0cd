package org.magnoliavane.http;

import java.io.IOException;
import java.util.Map;

/**
 * Receives a response incrementally. The methods are never called concurrently for the same exchange. The last call is
 * either {@link #onEnd} or {@link #onFailure}, exactly once.
 */
public interface ResponseListener {

    /**
     * Receives the status and the headers.
     *
     * @param status the status code
     * @param headers the headers by lower-case name
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Receives a part of the body.
     *
     * @param bytes the bytes of this part; never empty
     */
    void onBytes(byte[] bytes);

    /** Called after the last part of a complete response. */
    void onEnd();

    /**
     * Receives the failure of the exchange. A {@link java.net.ConnectException} means that the connection was not
     * established and nothing was sent.
     *
     * @param cause the cause
     */
    void onFailure(IOException cause);
}
