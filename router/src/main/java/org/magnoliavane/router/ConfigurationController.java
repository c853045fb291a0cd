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
 * Applies each newer configuration of the store. When one cannot be read, the last valid one stays in force.
 *
 * <p>Thread-safe.
 */
final class ConfigurationController implements TopicListener {
    private static final Logger LOG = System.getLogger(ConfigurationController.class.getName());

    private final RoutingState routingState;
    private final EntryFormat entries;

    ConfigurationController(RoutingState routingState, EntryFormat entries) {
        this.routingState = routingState;
        this.entries = entries;
    }

    @Override
    public void onRead(ReadGap gap) {
        // The age of the read does not matter for what is applied.
    }

    @Override
    public boolean onChange(KeyedRecord change) {
        if (change.isRemoval()) {
            return true;
        }
        try {
            Optional<RoutingTable> table = entries.readConfiguration(change);
            if (table.isPresent() && routingState.install(table.get())) {
                LOG.log(
                        Level.INFO,
                        "event=configuration version={0} offset={1} organisations={2}",
                        Long.toString(table.get().getVersion()),
                        Long.toString(change.offset()),
                        Integer.toString(table.get().countOrganisations()));
            }
        } catch (IOException e) {
            LOG.log(
                    Level.WARNING,
                    "event=configuration_unreadable offset={0} reason=\"{1}\"; the last valid one stays in force",
                    Long.toString(change.offset()),
                    e.getMessage());
        }
        return true;
    }

    @Override
    public void onSnapshot(Set<String> keys) {
        // The configuration stays in force even if the store no longer contains it.
    }
}
