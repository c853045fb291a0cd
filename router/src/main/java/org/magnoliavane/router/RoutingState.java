package org.magnoliavane.router;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.RoutingTable;

/**
 * Holds the configuration and the workers that requests use. The controllers replace them as a whole.
 *
 * <p>Thread-safe.
 */
public final class RoutingState {
    private final AtomicReference<Optional<RoutingTable>> routing = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Map<String, List<ListedWorker>>> workers = new AtomicReference<>(Map.of());

    /**
     * Gets the configuration in force.
     *
     * @return the routing table; empty before the first configuration was read
     */
    public Optional<RoutingTable> getRoutingTable() {
        return routing.get();
    }

    /**
     * Applies a configuration unless the same or a newer version is in force.
     *
     * @param table the routing table
     * @return true if it was applied
     */
    public boolean install(RoutingTable table) {
        Optional<RoutingTable> before = routing.getAndUpdate(
                old -> old.isPresent() && old.get().getVersion() >= table.getVersion() ? old : Optional.of(table));
        return before.isEmpty() || before.get().getVersion() < table.getVersion();
    }

    /**
     * Applies a configuration that was written after a rollback of the store, unless a newer version is in force. A version
     * that the rollback has removed may have been published again with another content.
     *
     * @param table the routing table
     * @return true if it was applied
     */
    public boolean installRepublished(RoutingTable table) {
        Optional<RoutingTable> before = routing.getAndUpdate(
                old -> old.isPresent() && old.get().getVersion() > table.getVersion() ? old : Optional.of(table));
        return before.isEmpty() || before.get().getVersion() <= table.getVersion();
    }

    /**
     * Gets the workers of a service.
     *
     * @param service the name of the service
     * @return the workers, including those that are draining; empty for an unknown service
     */
    public List<ListedWorker> getWorkers(String service) {
        return workers.get().getOrDefault(service, List.of());
    }

    /**
     * Returns whether a worker that was chosen earlier may still be used: it is still listed, has neither restarted nor
     * changed its role, and is not draining.
     *
     * @param chosen the worker as it was listed when it was chosen
     * @return false if another worker must be chosen
     */
    public boolean isUsable(ListedWorker chosen) {
        return getWorkers(chosen.server().service()).stream()
                .anyMatch(w -> w.id().equals(chosen.id())
                        && w.isSameIncarnation(chosen)
                        && w.server().role() == chosen.server().role()
                        && !w.server().leaving());
    }

    /**
     * Counts the workers of all services.
     *
     * @return the number of workers, including those that are draining
     */
    public int countWorkers() {
        int count = 0;
        for (List<ListedWorker> ofService : workers.get().values()) {
            count += ofService.size();
        }
        return count;
    }

    /**
     * Replaces the workers of all services.
     *
     * @param byService the workers by the name of their service; must be immutable
     */
    public void setWorkers(Map<String, List<ListedWorker>> byService) {
        workers.set(byService);
    }
}
