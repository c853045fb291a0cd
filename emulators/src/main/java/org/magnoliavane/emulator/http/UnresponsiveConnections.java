package org.magnoliavane.emulator.http;

import java.util.concurrent.atomic.AtomicLong;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Emulates connections that become unresponsive for good while new ones work. An unresponsive connection stays open,
 * but nothing more is written to it.
 *
 * <p>Thread-safe.
 */
final class UnresponsiveConnections extends ConnectionProbe.Adapter {
    private static final Attribute<Long> GENERATION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("magnoliavane.emulator.generation");

    private final AtomicLong generation = new AtomicLong();

    @Override
    public void onAcceptEvent(Connection serverConnection, Connection clientConnection) {
        GENERATION.set(clientConnection, generation.get());
    }

    /**
     * Marks every open connection as unresponsive, except the one of the request for it, which still needs its
     * response.
     */
    synchronized void markUnresponsive(Connection<?> except) {
        GENERATION.set(except, generation.get() + 1);
        generation.incrementAndGet();
    }

    boolean isUnresponsive(Connection<?> connection) {
        Long opened = GENERATION.get(connection);
        return opened != null && opened < generation.get();
    }
}
