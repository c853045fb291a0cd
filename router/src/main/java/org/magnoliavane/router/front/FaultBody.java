package org.magnoliavane.router.front;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.Fault;
import org.magnoliavane.json.Json;

/** Writes faults in the error shape of chat-completions clients. */
public final class FaultBody {
    private FaultBody() {}

    /**
     * Makes the error object.
     *
     * @param fault the fault
     * @param param the field of the request at fault; empty when there is none
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

    /** Gets the seconds of the header {@code Retry-After}, rounded up. */
    public static long toRetryAfterSeconds(long millis) {
        return (millis + 999) / 1000;
    }
}
