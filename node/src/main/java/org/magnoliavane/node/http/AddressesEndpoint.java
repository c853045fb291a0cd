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

/** Lists the nodes that callers may use, and for how long callers may cache the list. */
final class AddressesEndpoint {
    private final CallerContext context;
    private final GracefulShutdown shutdown;

    AddressesEndpoint(CallerContext context, GracefulShutdown shutdown) {
        this.context = context;
        this.shutdown = shutdown;
    }

    void handle(CallerExchange exchange) {
        Configuration configuration = exchange.getConfiguration();
        ClusterView view = context.view().get();
        String preferredZone = exchange.findParameter("zone").orElse(view.self().zone());
        ObjectNode body =
                Json.object().put("lifetime_seconds", configuration.limits().addressLifetimeSeconds());
        ArrayNode list = body.putArray("addresses");
        for (NodeAddress node : listAddresses(view, configuration.drainedNodes(), preferredZone)) {
            addAddress(list.addObject(), node);
        }
        exchange.send(200, Map.of("Content-Type", "application/json"), Json.write(body));
    }

    private List<NodeAddress> listAddresses(ClusterView view, Set<String> drained, String preferredZone) {
        String ownZone = view.self().zone();
        boolean selfAvailable =
                shutdown.tryAdvertise(() -> !drained.contains(context.self().node()));
        return view.nodes().stream()
                .filter(n -> isSelf(n)
                        ? selfAvailable
                        : !n.leaving() && !drained.contains(n.run().node()))
                .sorted(Comparator.comparing((NodeAddress n) -> !n.zone().equals(preferredZone))
                        .thenComparing(n -> !isSelf(n))
                        .thenComparing(n -> !n.zone().equals(ownZone)))
                .toList();
    }

    private boolean isSelf(NodeAddress node) {
        return node.run().node().equals(context.self().node());
    }

    private void addAddress(ObjectNode address, NodeAddress node) {
        address.put("node", node.run().node())
                .put("url", "http://" + node.host() + ":" + node.callerPort())
                .put("zone", node.zone());
        if (isSelf(node)) {
            address.put("run_token", context.keyedRequests().issueRunToken());
        } else if (node.run().run() != 0) {
            address.put("run_token", node.run() + "." + System.currentTimeMillis() / 1000);
        }
    }
}
