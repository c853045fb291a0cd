package org.magnoliavane.idempotency;

/**
 * Results of a lookup or an admission of a key in the key table.
 */
public enum KeyAdmission {
    /** The key was unknown and is now registered for this request. */
    NEW,
    /** An earlier request with the same key and content has the response or will have it. */
    KNOWN,
    /** An earlier request used the key with other content. */
    CONFLICT,
    /** The table is full; a key with a run token stays refused, so its request is never executed here. */
    FULL,
    /** The key is unknown and was not added. */
    ABSENT
}
