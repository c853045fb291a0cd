package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.Map;
import java.util.OptionalLong;

import org.magnoliavane.Fault;

/**
 * Encodes and decodes requests and responses on the wire.
 *
 * <p>Implementations are thread-safe.
 */
public interface WireFormat {

    /**
     * Parses the headers of a caller's request.
     *
     * @param headers the headers, by lower-case name
     * @return the parsed values
     */
    RequestMetadata readMetadata(Map<String, String> headers);

    /**
     * Creates the headers of a request to a worker.
     *
     * @param request the caller's request
     * @param workerRequest the way in which the request is sent to the worker
     * @return the headers
     */
    Map<String, String> toWorkerHeaders(CallerRequest request, WorkerRequest workerRequest);

    /**
     * Classifies the status and the headers of a worker's response.
     *
     * @param request the caller's request
     * @param workerRequest the way in which the request was sent to the worker
     * @param status the HTTP status
     * @param headers the headers, by lower-case name
     * @return the kind of the response
     */
    ResponseKind classify(CallerRequest request, WorkerRequest workerRequest, int status, Map<String, String> headers);

    /**
     * Returns whether a response announces that its worker leaves and wants no more requests.
     *
     * @param headers the headers, by lower-case name
     * @return true if the worker leaves
     */
    boolean isLeaving(Map<String, String> headers);

    /**
     * Parses the time for which the worker of a response wants no more requests.
     *
     * @param headers the headers, by lower-case name
     * @return the time in milliseconds, greater than 0; empty if the response states none
     */
    OptionalLong readRetryAfterMillis(Map<String, String> headers);

    /**
     * Selects the headers of a worker's response that are forwarded to the caller.
     *
     * @param headers the headers, by lower-case name
     * @return the headers to forward
     */
    Map<String, String> toCallerHeaders(Map<String, String> headers);

    /**
     * Parses the response to a prefill.
     *
     * @param workerRequest the prefill request
     * @param body the body of the response
     * @return the handle of the KV cache
     * @throws IOException if the body is malformed
     */
    CacheHandle readCacheHandle(WorkerRequest workerRequest, byte[] body) throws IOException;

    /**
     * Returns whether a status tells a caller that its request has not run and never will.
     *
     * @param status the HTTP status
     * @return true if the status makes that promise
     */
    boolean statesNotRun(int status);

    /**
     * Returns the HTTP status for a fault.
     *
     * @param fault the fault
     * @return the status code
     */
    int toStatus(Fault fault);
}
