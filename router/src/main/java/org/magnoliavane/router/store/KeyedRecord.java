package org.magnoliavane.router.store;

/**
 * A change of one key.
 *
 * <p>Immutable by convention; the array is not copied.
 *
 * @param key the key
 * @param value the new value; empty when the key was removed
 * @param offset the position of the change in its topic
 */
public record KeyedRecord(String key, byte[] value, long offset) {

    /**
     * Says whether the key was removed.
     *
     * @return true for a removal
     */
    public boolean isRemoval() {
        return value.length == 0;
    }
}
