package org.magnoliavane.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.TopicListener;
import org.magnoliavane.routing.RoutingTable;

/** Puts each newer configuration in force. One that cannot be read leaves the last good one in force. */
final class ConfigurationController implements TopicListener {
    private static final Logger LOG = System.getLogger(ConfigurationController.class.getName());

    private final RoutingState fleet;
    private final EntryFormat entries;

    ConfigurationController(RoutingState fleet, EntryFormat entries) {
        this.fleet = fleet;
        this.entries = entries;
    }

    @Override
    public void onChange(KeyedRecord change) {
        if (change.isRemoval()) {
            return;
        }
        try {
            Optional<RoutingTable> table = entries.readConfiguration(change);
            if (table.isPresent() && fleet.install(table.get())) {
                LOG.log(
                        Level.INFO,
                        "event=configuration version={0} offset={1}",
                        Long.toString(table.get().getVersion()),
                        Long.toString(change.offset()));
            }
        } catch (IOException e) {
            LOG.log(
                    Level.WARNING,
                    "event=configuration_unreadable offset={0} reason=\"{1}\"; the last good one stays in force",
                    Long.toString(change.offset()),
                    e.getMessage());
        }
    }

    @Override
    public void onSnapshot(Set<String> keys) {
        // A configuration stays in force also when the store no longer has it.
    }

    @Override
    public void onOutageEnd() {
        // Only a newer version changes anything.
    }
}
