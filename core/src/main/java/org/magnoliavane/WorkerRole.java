package org.magnoliavane;

import java.util.Locale;
import java.util.Optional;

/**
 * Roles that a worker can have in its service.
 */
public enum WorkerRole {
    /** Computes the KV cache of prompts. */
    PREFILL,
    /** Generates tokens from an imported KV cache. */
    DECODE,
    /** Handles requests to a plain HTTP service. */
    PLAIN;

    /**
     * Parses the name used in the VM list and by engines.
     *
     * @param text the name in lower case
     * @return the role; empty when no role has this name
     */
    public static Optional<WorkerRole> parse(String text) {
        for (WorkerRole role : values()) {
            if (role.toWire().equals(text)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }

    /**
     * Gets the name used in the VM list and by engines.
     *
     * @return the name in lower case
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
