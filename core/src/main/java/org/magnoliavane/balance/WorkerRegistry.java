package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the workers that service discovery lists, and decides when a worker that is no longer listed is removed. The entry
 * of a worker also expires if the worker cannot renew it during an outage of the store, although the worker is still
 * running. A removal shortly after an outage therefore takes effect only if the entry does not reappear within a grace
 * period.
 *
 * <p>After a rollback of the store, old entries return and newer ones are missing. Removals are deferred for the grace period
 * as well, and an entry that contradicts what is known is held: it counts only once the worker has written it again.
 *
 * <p>Not thread-safe.
 */
public final class WorkerRegistry {
    /** Number of workers that have left and are remembered; many times the departures between a copy and the rollback to it. */
    private static final int MAX_DEPARTED = 1000;

    /**
     * Share of the grace period for which removals are deferred that are written after a rollback. A running worker whose
     * entry expired because the copy has an old renewal renews it within that time; the rest is left for learning of a worker
     * that has really left within its drain time. With the whole period, requests came up to 8 ms late.
     */
    private static final double WRITTEN_REMOVAL_SHARE = 0.75;

    private final long outageGraceMillis;
    private final Map<String, ListedWorker> workers = new HashMap<>();
    private final Map<String, Long> removalDueMillis = new HashMap<>();
    private final Map<String, ListedWorker> departed = new LinkedHashMap<>();
    private final Set<String> held = new HashSet<>();
    private long outageEndMillis = Long.MIN_VALUE / 2;
    private long rollbackMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a registry without workers.
     *
     * @param outageGraceMillis the time that an entry may take to reappear after an outage of the store, in milliseconds
     */
    public WorkerRegistry(long outageGraceMillis) {
        this.outageGraceMillis = outageGraceMillis;
    }

    /**
     * Records when the latest outage of the store ended. Workers whose removal was scheduled for a later time are removed at
     * the end of its grace period.
     *
     * @param endMillis the end of the outage, in milliseconds
     */
    public void recordOutageEnd(long endMillis) {
        outageEndMillis = endMillis;
        removalDueMillis.replaceAll((id, due) -> Math.min(due, getGraceEndMillis(1)));
    }

    /**
     * Records a rollback of the store. Must be followed by {@link #removeMissing} for the workers that the new snapshot lacks and
     * by {@link #reconcile} for its entries. A removal that is scheduled already is not deferred again.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void recordRollback(long nowMillis) {
        rollbackMillis = nowMillis;
        held.clear();
    }

    /** Gets the end of the grace period, of which a share counts after a rollback. */
    private long getGraceEndMillis(double rollbackShare) {
        return Math.max(
                outageEndMillis + outageGraceMillis, rollbackMillis + (long) (rollbackShare * outageGraceMillis));
    }

    /**
     * Compares an entry of the first snapshot after a rollback with what is known of the worker. An entry of a start that is
     * known to run, drain or have left changes nothing, except that a worker that drains is not used. An unknown worker may have
     * left before this node read the list.
     *
     * @param restored the entry
     * @return the entry to put; empty if what is known stays in force
     */
    public Optional<ListedWorker> reconcile(ListedWorker restored) {
        String id = restored.id();
        Optional<ListedWorker> known = Optional.ofNullable(workers.get(id));
        Optional<ListedWorker> last = known.or(() -> Optional.ofNullable(departed.get(id)));
        if (last.filter(l -> restored.startedAtMillis() > l.startedAtMillis()).isPresent()) {
            return Optional.of(restored);
        }
        if (known.isPresent() && known.get().equals(restored)) {
            return Optional.empty();
        }
        boolean drains = restored.server().leaving()
                && known.filter(k ->
                                k.isSameIncarnation(restored) && !k.server().leaving())
                        .isPresent();
        if (drains) {
            return known.map(ListedWorker::withLeaving);
        }
        held.add(id);
        return Optional.empty();
    }

    /**
     * Holds an entry of the first snapshot after a rollback that cannot be read. The known entry stays in force.
     *
     * @param id the id of the worker
     */
    public void hold(String id) {
        if (workers.containsKey(id)) {
            held.add(id);
        }
    }

    /**
     * Ends the holding of entries that the store no longer has.
     *
     * @param ids the ids of the workers in the store
     */
    public void retainHeld(Set<String> ids) {
        held.retainAll(ids);
    }

    /**
     * Returns whether the entry of a worker is held until the worker has written it again or the store has removed it.
     *
     * @param id the id of the worker
     * @return true if it is held
     */
    public boolean isHeld(String id) {
        return held.contains(id);
    }

    /**
     * Returns whether any entry is held.
     *
     * @return true if a change of a held entry is awaited
     */
    public boolean hasHeld() {
        return !held.isEmpty();
    }

    /**
     * Adds or replaces a worker.
     *
     * @param worker the worker
     * @return the entry that it replaces; empty if the worker is new
     */
    public Optional<ListedWorker> put(ListedWorker worker) {
        removalDueMillis.remove(worker.id());
        departed.remove(worker.id());
        held.remove(worker.id());
        return Optional.ofNullable(workers.put(worker.id(), worker));
    }

    /**
     * Marks a worker as draining whose entry can no longer be read, so that it gets no requests until it is listed again.
     *
     * @param id the id of the worker
     * @return false if no worker with this id is in use
     */
    public boolean suspend(String id) {
        ListedWorker known = workers.get(id);
        if (known == null || known.server().leaving()) {
            return false;
        }
        workers.put(id, known.withLeaving());
        return true;
    }

    /**
     * Removes a worker that is no longer listed, or schedules its removal after an outage or a rollback of the store.
     *
     * @param id the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return true if the worker was removed immediately
     */
    public boolean remove(String id, long nowMillis) {
        return remove(id, nowMillis, getGraceEndMillis(WRITTEN_REMOVAL_SHARE));
    }

    /**
     * Schedules the removal of a worker that the first snapshot after a rollback lacks. One that drains is removed.
     *
     * @param id the id of the worker
     * @param nowMillis the time of the rollback, in milliseconds
     * @return true if the worker was removed immediately
     */
    public boolean removeMissing(String id, long nowMillis) {
        return remove(id, nowMillis, getGraceEndMillis(1));
    }

    private boolean remove(String id, long nowMillis, long graceEndMillis) {
        held.remove(id);
        ListedWorker known = workers.get(id);
        if (known == null) {
            return false;
        }
        boolean mayHaveExpired = nowMillis < graceEndMillis && !known.server().leaving();
        if (mayHaveExpired) {
            removalDueMillis.putIfAbsent(id, graceEndMillis);
            return false;
        }
        workers.remove(id);
        removalDueMillis.remove(id);
        rememberDeparture(known);
        return true;
    }

    /**
     * Returns whether a worker disappeared during an outage of the store and is removed unless it reappears.
     *
     * @param id the id of the worker
     * @return true if its removal is scheduled
     */
    public boolean isRemovalScheduled(String id) {
        return removalDueMillis.containsKey(id);
    }

    /**
     * Removes the workers that have not reappeared within the grace period.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the ids of the removed workers
     */
    public List<String> removeExpired(long nowMillis) {
        List<String> removed = new ArrayList<>();
        for (Iterator<Map.Entry<String, Long>> i = removalDueMillis.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Long> entry = i.next();
            if (nowMillis >= entry.getValue()) {
                removed.add(entry.getKey());
                Optional.ofNullable(workers.remove(entry.getKey())).ifPresent(this::rememberDeparture);
                i.remove();
            }
        }
        return removed;
    }

    private void rememberDeparture(ListedWorker worker) {
        departed.put(worker.id(), worker);
        if (departed.size() > MAX_DEPARTED) {
            departed.remove(departed.keySet().iterator().next());
        }
    }

    /**
     * Gets the ids of all workers.
     *
     * @return the ids, including those of workers whose removal is scheduled
     */
    public List<String> getIds() {
        return List.copyOf(workers.keySet());
    }

    /**
     * Groups the workers by service.
     *
     * @return an immutable snapshot of the workers, by service name
     */
    public Map<String, List<ListedWorker>> groupByService() {
        Map<String, List<ListedWorker>> services = new HashMap<>();
        for (ListedWorker worker : workers.values()) {
            services.computeIfAbsent(worker.server().service(), s -> new ArrayList<>())
                    .add(worker);
        }
        services.replaceAll((name, list) -> List.copyOf(list));
        return Map.copyOf(services);
    }
}
