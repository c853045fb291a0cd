package org.magnoliavane.node.http;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.json.Json;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.membership.NodeAddress;

/** Tells callers which nodes to use, and for how long they may keep the answer. */
final class AddressesEndpoint {
    private final CallerContext parts;
    private final GracefulShutdown departure;

    AddressesEndpoint(CallerContext parts, GracefulShutdown departure) {
        this.parts = parts;
        this.departure = departure;
    }

    void answer(CallerExchange exchange) {
        Configuration configuration = exchange.getConfiguration();
        ClusterView view = parts.view().get();
        String near = exchange.findParameter("zone").orElse(view.self().zone());
        ObjectNode body =
                Json.object().put("lifetime_seconds", configuration.limits().addressLifetimeSeconds());
        ArrayNode list = body.putArray("addresses");
        for (NodeAddress node : inOrder(view, configuration.drainedNodes(), near)) {
            add(list.addObject(), node);
        }
        exchange.answer(200, Map.of("Content-Type", "application/json"), Json.write(body));
    }

    private List<NodeAddress> inOrder(ClusterView view, Set<String> drained, String near) {
        String own = view.self().zone();
        boolean selfStays =
                departure.markNamed(() -> !drained.contains(parts.self().node()));
        return view.nodes().stream()
                .filter(n -> isSelf(n)
                        ? selfStays
                        : !n.leaving() && !drained.contains(n.run().node()))
                .sorted(Comparator.comparing((NodeAddress n) -> !n.zone().equals(near))
                        .thenComparing(n -> !isSelf(n))
                        .thenComparing(n -> !n.zone().equals(own)))
                .toList();
    }

    private boolean isSelf(NodeAddress node) {
        return node.run().node().equals(parts.self().node());
    }

    private void add(ObjectNode address, NodeAddress node) {
        address.put("node", node.run().node())
                .put("url", "http://" + node.host() + ":" + node.callerPort())
                .put("zone", node.zone());
        if (isSelf(node)) {
            address.put("run_token", parts.keyed().issueRunToken());
        } else if (node.run().run() != 0) {
            address.put("run_token", node.run() + "." + System.currentTimeMillis() / 1000);
        }
    }
}
