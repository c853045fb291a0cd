package org.magnoliavane.router.store;

/**
 * A record of a topic: the new value of one key.
 *
 * <p>Immutable by convention; the array is not copied.
 *
 * @param key the key
 * @param value the new value; empty if the key was removed
 * @param offset the position of the change in its topic
 */
public record KeyedRecord(String key, byte[] value, long offset) {

    /**
     * Returns whether the record removes its key.
     *
     * @return true for a removal
     */
    public boolean isRemoval() {
        return value.length == 0;
    }
}
