package org.magnoliavane.http;

import java.io.IOException;
import java.util.Map;

/**
 * Receives a response piece by piece. Calls for one exchange never overlap; exactly one of {@link #onEnd} and
 * {@link #onFailure} is the last.
 */
public interface ResponseListener {

    /**
     * Receives status and headers.
     *
     * @param status the status code
     * @param headers the headers by lower-case name
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Receives a part of the body.
     *
     * @param bytes the part; never empty
     */
    void onBytes(byte[] bytes);

    /** Receives the end of a complete response. */
    void onEnd();

    /**
     * Receives the failure of the exchange. A {@link java.net.ConnectException} means that no connection was made, so
     * that nothing was sent.
     *
     * @param cause the cause
     */
    void onFailure(IOException cause);
}
