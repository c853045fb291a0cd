package org.magnoliavane.idempotency;

/**
 * Outcomes of asking the key table about a call.
 */
public enum KeyAdmission {
    /** The key is new and now belongs to this call. */
    NEW,
    /** An earlier call with the same key and content has the answer, or will have it. */
    KNOWN,
    /** An earlier call used the key with other content. */
    CONFLICT,
    /** The table has no room; the key will never run here. */
    FULL,
    /** The key is unknown and may not be added. */
    ABSENT
}
