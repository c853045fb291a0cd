package org.magnoliavane.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.StoreAvailability;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerRegistry;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.ReadGap;
import org.magnoliavane.router.store.TopicListener;

/**
 * Updates the list of workers from the store.
 *
 * <p>Thread-safe.
 */
final class WorkerController implements TopicListener {
    private static final Logger LOG = System.getLogger(WorkerController.class.getName());

    private final RoutingState routingState;
    private final WorkerLoadTracker loadTracker;
    private final EntryFormat entries;
    private final StoreAvailability availability;
    private final LongSupplier millis;
    private final Consumer<String> onRoleChanged;
    private final WorkerRegistry registry;
    private final Set<String> unreadableIds = new HashSet<>();
    private ReadGap lastGap = new ReadGap(0, ReadGap.Source.STORE);

    WorkerController(
            RoutingState routingState,
            WorkerLoadTracker loadTracker,
            EntryFormat entries,
            long listingGraceMillis,
            StoreAvailability availability,
            LongSupplier millis,
            Consumer<String> onRoleChanged) {
        this.routingState = routingState;
        this.loadTracker = loadTracker;
        this.entries = entries;
        this.availability = availability;
        this.millis = millis;
        this.onRoleChanged = onRoleChanged;
        this.registry = new WorkerRegistry(listingGraceMillis);
    }

    @Override
    public synchronized void onRead(ReadGap gap) {
        lastGap = gap;
        if (gap.source() == ReadGap.Source.STORE) {
            long now = millis.getAsLong();
            availability.record(new StoreAvailability.Period(now, now));
        }
        updateOutageEnd();
    }

    @Override
    public synchronized boolean onChange(KeyedRecord change) {
        if (change.isRemoval()) {
            removeWorker(change.key(), registry::remove);
            return true;
        }
        try {
            ListedWorker worker = entries.readWorker(change);
            unreadableIds.remove(change.key());
            return putWorker(worker);
        } catch (IOException e) {
            boolean isNew = unreadableIds.add(change.key());
            // An unreadable entry may be a notice.
            boolean suspended = registry.suspend(change.key());
            if (isNew || suspended) {
                LOG.log(
                        Level.WARNING,
                        "event=worker_unreadable worker={0} suspended={1} gap_millis={2} source={3} reason=\"{4}\"",
                        change.key(),
                        suspended,
                        Long.toString(lastGap.millis()),
                        lastGap.source(),
                        e.getMessage());
            }
            if (suspended) {
                publish();
            }
            return isNew || suspended;
        }
    }

    /** Adds or replaces a worker, and returns false if its entry was only renewed. */
    private boolean putWorker(ListedWorker worker) {
        boolean removalCancelled = registry.isRemovalScheduled(worker.id());
        Optional<ListedWorker> previous = registry.put(worker);
        if (previous.isPresent() && previous.get().equals(worker)) {
            return removalCancelled;
        }
        boolean newIncarnation = previous.isEmpty() || !previous.get().isSameIncarnation(worker);
        if (newIncarnation) {
            loadTracker.resetHealth(worker.id());
        }
        boolean newRole = previous.isPresent()
                && previous.get().server().role() != worker.server().role();
        if (newRole) {
            loadTracker.resume(worker.id());
            onRoleChanged.accept(worker.id());
        }
        LOG.log(
                Level.INFO,
                "event=worker_listed worker={0} service={1} role={2} leaving={3} new_start={4} gap_millis={5}"
                        + " source={6}",
                worker.id(),
                worker.server().service(),
                worker.server().role(),
                worker.server().leaving(),
                newIncarnation,
                Long.toString(lastGap.millis()),
                lastGap.source());
        publish();
        return true;
    }

    private void removeWorker(String id, Removal removal) {
        if (removal.remove(id, millis.getAsLong())) {
            logGone(id, "removed from the store");
            publish();
        } else if (registry.isRemovalScheduled(id)) {
            LOG.log(
                    Level.INFO,
                    "event=worker_removal_deferred worker={0} gap_millis={1} source={2} served_millis={3}"
                            + " reason=\"its entry may have expired in an outage of the store or be lost in a rollback\"",
                    id,
                    Long.toString(lastGap.millis()),
                    lastGap.source(),
                    Long.toString(millis.getAsLong()
                            - availability.findOutageEndMillis().orElse(millis.getAsLong())));
        }
    }

    @Override
    public synchronized void onSnapshot(Set<String> keys) {
        registry.retainHeld(keys);
        removeOthers(keys, registry::remove);
    }

    private void removeOthers(Set<String> keys, Removal removal) {
        for (String id : registry.getIds()) {
            if (!keys.contains(id)) {
                removeWorker(id, removal);
            }
        }
    }

    @Override
    public synchronized void onRollback(Set<String> keys) {
        registry.recordRollback(millis.getAsLong());
        removeOthers(keys, registry::removeMissing);
    }

    @Override
    public synchronized void onRestored(KeyedRecord entry) {
        if (entry.isRemoval()) {
            return;
        }
        try {
            ListedWorker restored = entries.readWorker(entry);
            registry.reconcile(restored).ifPresent(this::putWorker);
        } catch (IOException e) {
            registry.hold(entry.key());
            LOG.log(
                    Level.WARNING,
                    "event=worker_unreadable worker={0} suspended=false restored=true reason=\"{1}\"",
                    entry.key(),
                    e.getMessage());
        }
        if (registry.isHeld(entry.key())) {
            LOG.log(
                    Level.INFO,
                    "event=worker_held worker={0} reason=\"its restored entry contradicts what is known\"",
                    entry.key());
        }
    }

    @Override
    public synchronized boolean needsOwnReads() {
        return registry.hasHeld();
    }

    private void updateOutageEnd() {
        availability.findOutageEndMillis().ifPresent(registry::recordOutageEnd);
    }

    /** Removes the workers that have not been listed again within the grace period after an outage of the store. */
    synchronized void removeExpired() {
        updateOutageEnd();
        for (String id : registry.removeExpired(millis.getAsLong())) {
            logGone(id, "not listed again after an outage");
            publish();
        }
    }

    private void logGone(String id, String reason) {
        LOG.log(
                Level.INFO,
                "event=worker_gone worker={0} gap_millis={1} source={2} reason=\"{3}\"",
                id,
                Long.toString(lastGap.millis()),
                lastGap.source(),
                reason);
    }

    private void publish() {
        routingState.setWorkers(registry.groupByService());
    }

    /** Removes a worker or schedules its removal, and returns true if it was removed immediately. */
    private interface Removal {
        boolean remove(String id, long nowMillis);
    }
}
