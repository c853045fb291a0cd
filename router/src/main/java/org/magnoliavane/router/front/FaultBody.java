package org.magnoliavane.router.front;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.Fault;
import org.magnoliavane.json.Json;

/** Formats faults as the error object that chat-completions clients expect. */
public final class FaultBody {
    private FaultBody() {}

    /**
     * Creates the error object.
     *
     * @param fault the fault
     * @param param the field of the request that caused the fault; empty if there is none
     * @return the body of the response
     */
    public static ObjectNode toJson(Fault fault, String param) {
        ObjectNode body = Json.object();
        ObjectNode error = body.putObject("error")
                .put("message", fault.message())
                .put("type", fault.kind().toWire())
                .put("code", fault.kind().toWire())
                .put("param", param.isEmpty() ? null : param)
                .put("ran", fault.ran().toWire())
                .put("remedy", fault.remedy());
        fault.retryAfterMillis().ifPresent(millis -> error.put("retry_after_millis", millis));
        return body;
    }

    /** Converts milliseconds to the whole seconds of the header {@code Retry-After}, rounded up. */
    public static long toRetryAfterSeconds(long millis) {
        return (millis + 999) / 1000;
    }
}
