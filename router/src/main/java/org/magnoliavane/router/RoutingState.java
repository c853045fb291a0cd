package org.magnoliavane.router;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.RoutingTable;

/**
 * The view of configuration and workers that requests use. Controllers replace its parts.
 *
 * <p>Thread-safe.
 */
public final class RoutingState {
    private final AtomicReference<Optional<RoutingTable>> routing = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Map<String, List<ListedWorker>>> workers = new AtomicReference<>(Map.of());

    /**
     * Gets the configuration in force.
     *
     * @return the routing table; empty while none is known
     */
    public Optional<RoutingTable> getRoutingTable() {
        return routing.get();
    }

    /**
     * Puts a configuration in force, unless a newer one is.
     *
     * @param table the routing table
     * @return true when it took effect
     */
    public boolean install(RoutingTable table) {
        Optional<RoutingTable> before = routing.getAndUpdate(
                old -> old.isPresent() && old.get().getVersion() >= table.getVersion() ? old : Optional.of(table));
        return before.isEmpty() || before.get().getVersion() < table.getVersion();
    }

    /**
     * Gets the workers of a service.
     *
     * @param service the name of the service
     * @return the workers, those that leave included
     */
    public List<ListedWorker> getWorkers(String service) {
        return workers.get().getOrDefault(service, List.of());
    }

    /**
     * Replaces the workers.
     *
     * @param byService the workers by service; immutable
     */
    public void setWorkers(Map<String, List<ListedWorker>> byService) {
        workers.set(byService);
    }
}
