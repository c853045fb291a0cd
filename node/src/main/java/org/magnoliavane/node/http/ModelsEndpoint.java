package org.magnoliavane.node.http;

import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.config.Service;
import org.magnoliavane.json.Json;

/** Lists the models that the caller may use. */
final class ModelsEndpoint {
    private ModelsEndpoint() {}

    static void handle(CallerExchange exchange) {
        ObjectNode body = Json.object().put("object", "list");
        ArrayNode data = body.putArray("data");
        for (Service service : exchange.getConfiguration().services().values()) {
            if (service.model().isPresent() && AccessControl.isAllowed(exchange.getCaller(), service.name())) {
                service.model()
                        .get()
                        .models()
                        .forEach(model -> data.addObject()
                                .put("id", model)
                                .put("object", "model")
                                .put("created", 0)
                                .put("owned_by", service.name()));
            }
        }
        exchange.send(200, Map.of("Content-Type", "application/json"), Json.write(body));
    }
}
