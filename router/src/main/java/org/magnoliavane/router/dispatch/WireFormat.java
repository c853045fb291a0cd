package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.Map;

import org.magnoliavane.Fault;

/**
 * Translates between requests as the router sees them and their form on the wire.
 *
 * <p>Implementations are thread-safe.
 */
public interface WireFormat {

    /**
     * Reads the head of a caller's request.
     *
     * @param headers the headers, by lower-case name
     * @return what they say
     */
    RequestMetadata readMetadata(Map<String, String> headers);

    /**
     * Writes the head of a request to a worker.
     *
     * @param call the caller's request
     * @param to how it is sent
     * @return the headers
     */
    Map<String, String> toWorkerHeaders(CallerRequest call, WorkerRequest to);

    /**
     * Classifies the head of a worker's answer.
     *
     * @param call the caller's request
     * @param to how it was sent
     * @param status the HTTP status
     * @param headers the headers, by lower-case name
     * @return what the answer means
     */
    ResponseKind classify(CallerRequest call, WorkerRequest to, int status, Map<String, String> headers);

    /**
     * Selects the headers of a worker's answer that go to the caller.
     *
     * @param headers the headers, by lower-case name
     * @return the headers to send
     */
    Map<String, String> toCallerHeaders(Map<String, String> headers);

    /**
     * Reads the answer to a prefill.
     *
     * @param worker the call that was answered
     * @param body the body of the answer
     * @return the KV cache
     * @throws IOException when the body is not understood
     */
    CacheHandle readCacheHandle(WorkerRequest worker, byte[] body) throws IOException;

    /**
     * Chooses the HTTP status that tells a caller of a fault.
     *
     * @param fault the fault
     * @return the status code
     */
    int toStatus(Fault fault);
}
