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
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerRegistry;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.TopicListener;

/** Keeps the list of workers. */
final class WorkerController implements TopicListener {
    private static final Logger LOG = System.getLogger(WorkerController.class.getName());

    private final RoutingState fleet;
    private final WorkerLoadTracker ledger;
    private final EntryFormat entries;
    private final LongSupplier millis;
    private final Consumer<String> onNewRole;
    private final WorkerRegistry roster;
    private final Set<String> unreadable = new HashSet<>();

    WorkerController(
            RoutingState fleet,
            WorkerLoadTracker ledger,
            EntryFormat entries,
            long lapseGraceMillis,
            LongSupplier millis,
            Consumer<String> onNewRole) {
        this.fleet = fleet;
        this.ledger = ledger;
        this.entries = entries;
        this.millis = millis;
        this.onNewRole = onNewRole;
        this.roster = new WorkerRegistry(lapseGraceMillis);
    }

    @Override
    public synchronized void onChange(KeyedRecord change) {
        if (change.isRemoval()) {
            remove(change.key());
            return;
        }
        try {
            put(entries.readWorker(change));
            unreadable.remove(change.key());
        } catch (IOException e) {
            if (unreadable.add(change.key())) {
                LOG.log(Level.WARNING, "event=worker_unreadable key={0} reason=\"{1}\"", change.key(), e.getMessage());
            }
        }
    }

    private void put(ListedWorker worker) {
        Optional<ListedWorker> before = roster.put(worker);
        if (before.isPresent() && before.get().equals(worker)) {
            return;
        }
        boolean newStart = before.isEmpty() || !before.get().isSameIncarnation(worker);
        if (newStart) {
            ledger.resetHealth(worker.id());
        }
        boolean newRole = before.isPresent()
                && before.get().server().role() != worker.server().role();
        if (newRole) {
            ledger.resume(worker.id());
            onNewRole.accept(worker.id());
        }
        LOG.log(
                Level.INFO,
                "event=worker_listed worker={0} service={1} role={2} leaving={3} new_start={4}",
                worker.id(),
                worker.server().service(),
                worker.server().role(),
                worker.server().leaving(),
                newStart);
        publish();
    }

    private void remove(String id) {
        if (roster.remove(id, millis.getAsLong())) {
            LOG.log(Level.INFO, "event=worker_gone worker={0}", id);
            publish();
        }
    }

    @Override
    public synchronized void onSnapshot(Set<String> keys) {
        for (String id : roster.getIds()) {
            if (!keys.contains(id)) {
                remove(id);
            }
        }
    }

    @Override
    public synchronized void onOutageEnd() {
        roster.recordOutageEnd(millis.getAsLong());
    }

    /** Removes the workers whose listing has not come back after an outage of the store. */
    synchronized void expire() {
        for (String id : roster.removeExpired(millis.getAsLong())) {
            LOG.log(Level.INFO, "event=worker_gone worker={0} reason=\"not listed again after an outage\"", id);
            publish();
        }
    }

    private void publish() {
        fleet.setWorkers(roster.groupByService());
    }
}
