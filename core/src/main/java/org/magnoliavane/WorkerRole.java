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
    /** Answers calls of a plain HTTP service. */
    PLAIN;

    /**
     * Parses the form used in the VM list and by engines.
     *
     * @param text the lower-case name
     * @return the role, or empty when no role has this name
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
     * Gets the form used in the VM list and by engines.
     *
     * @return the lower-case name
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
