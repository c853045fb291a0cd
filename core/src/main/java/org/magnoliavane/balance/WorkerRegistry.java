package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the listed workers and decides when one that is no longer listed counts as gone. A listing lapses when its
 * worker cannot renew it, also because the store is away; such a worker lives on, so a removal shortly after a store
 * outage takes effect only when the listing has not come back in time.
 *
 * <p>Not thread-safe.
 */
public final class WorkerRegistry {
    private final long lapseGraceMillis;
    private final Map<String, ListedWorker> workers = new HashMap<>();
    private final Map<String, Long> removalDueMillis = new HashMap<>();
    private long outageEndMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty roster.
     *
     * @param lapseGraceMillis how long a listing may take to come back after an outage of the store
     */
    public WorkerRegistry(long lapseGraceMillis) {
        this.lapseGraceMillis = lapseGraceMillis;
    }

    /**
     * Takes note that the store has just answered again after an outage.
     *
     * @param nowMillis the current time
     */
    public void recordOutageEnd(long nowMillis) {
        outageEndMillis = nowMillis;
    }

    /**
     * Takes a listing.
     *
     * @param worker the worker
     * @return the listing that it replaces; empty when the worker is new
     */
    public Optional<ListedWorker> put(ListedWorker worker) {
        removalDueMillis.remove(worker.id());
        return Optional.ofNullable(workers.put(worker.id(), worker));
    }

    /**
     * Takes the removal of a listing.
     *
     * @param id the id of the worker
     * @param nowMillis the current time
     * @return true when the worker is gone at once
     */
    public boolean remove(String id, long nowMillis) {
        ListedWorker known = workers.get(id);
        if (known == null) {
            return false;
        }
        boolean mayHaveLapsed = nowMillis - outageEndMillis < lapseGraceMillis
                && !known.server().leaving();
        if (mayHaveLapsed) {
            removalDueMillis.putIfAbsent(id, outageEndMillis + lapseGraceMillis);
            return false;
        }
        workers.remove(id);
        removalDueMillis.remove(id);
        return true;
    }

    /**
     * Removes the workers whose listing has not come back in time.
     *
     * @param nowMillis the current time
     * @return the ids of the workers that are gone
     */
    public List<String> removeExpired(long nowMillis) {
        List<String> gone = new ArrayList<>();
        for (Iterator<Map.Entry<String, Long>> i = removalDueMillis.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Long> entry = i.next();
            if (nowMillis >= entry.getValue()) {
                gone.add(entry.getKey());
                workers.remove(entry.getKey());
                i.remove();
            }
        }
        return gone;
    }

    /**
     * Gets the ids of all workers.
     *
     * @return the ids, including those whose removal is pending
     */
    public List<String> getIds() {
        return List.copyOf(workers.keySet());
    }

    /**
     * Groups the workers by service.
     *
     * @return an immutable snapshot
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
