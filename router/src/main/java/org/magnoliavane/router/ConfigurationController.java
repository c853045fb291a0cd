package org.magnoliavane.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.ReadGap;
import org.magnoliavane.router.store.TopicListener;
import org.magnoliavane.routing.RoutingTable;

/**
 * Applies each newer configuration of the store. When one cannot be read, the last valid one stays in force. After a
 * rollback of the store, the version in force stays as well, until the operator has published it again or a newer one.
 *
 * <p>Thread-safe.
 */
final class ConfigurationController implements TopicListener {
    private static final Logger LOG = System.getLogger(ConfigurationController.class.getName());

    private final RoutingState routingState;
    private final EntryFormat entries;

    /** Whether the version in force may have been published again with another content, because a rollback has removed it. */
    private boolean replaceable;

    ConfigurationController(RoutingState routingState, EntryFormat entries) {
        this.routingState = routingState;
        this.entries = entries;
    }

    @Override
    public void onRead(ReadGap gap) {
        // The age of the read does not matter for what is applied.
    }

    @Override
    public synchronized boolean onChange(KeyedRecord change) {
        apply(change).ifPresent(table -> replaceable = false);
        return true;
    }

    /** Applies an entry, and returns its configuration if it is in force then. */
    private Optional<RoutingTable> apply(KeyedRecord change) {
        if (change.isRemoval()) {
            return Optional.empty();
        }
        try {
            Optional<RoutingTable> table = entries.readConfiguration(change);
            if (table.isPresent() && install(table.get())) {
                LOG.log(
                        Level.INFO,
                        "event=configuration version={0} offset={1} organisations={2}",
                        Long.toString(table.get().getVersion()),
                        Long.toString(change.offset()),
                        Integer.toString(table.get().countOrganisations()));
                return table;
            }
            if (table.isPresent() && replaceable) {
                LOG.log(
                        Level.WARNING,
                        "event=configuration_reverted version={0} offset={1}; the newer one stays in force",
                        Long.toString(table.get().getVersion()),
                        Long.toString(change.offset()));
            }
        } catch (IOException e) {
            LOG.log(
                    Level.WARNING,
                    "event=configuration_unreadable offset={0} reason=\"{1}\"; the last valid one stays in force",
                    Long.toString(change.offset()),
                    e.getMessage());
        }
        return Optional.empty();
    }

    private boolean install(RoutingTable table) {
        return replaceable ? routingState.installRepublished(table) : routingState.install(table);
    }

    @Override
    public void onSnapshot(Set<String> keys) {
        // The configuration stays in force even if the store no longer contains it.
    }

    @Override
    public synchronized void onRollback(Set<String> keys) {
        replaceable = true;
    }

    @Override
    public synchronized void onRestored(KeyedRecord entry) {
        apply(entry);
    }

    @Override
    public boolean needsOwnReads() {
        return false;
    }
}
