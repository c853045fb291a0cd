package org.magnoliavane.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Holds the keys that a node run has admitted, with a value for each.
 *
 * <p>A key is retained for longer than its run token is accepted, so that the request of an evicted key cannot be
 * executed again. No key is evicted early: when the table is full, new keys are refused. A refused key stays refused
 * without an entry of its own, because from then on every new key is refused whose token was issued no later.
 *
 * <p>Not thread-safe. Times are readings of one clock in milliseconds.
 *
 * @param <V> the type of the value that is stored for a key
 */
public final class KeyTable<V> {
    /** The time in milliseconds for which a run token is accepted. */
    public static final long TOKEN_LIFETIME_MILLIS = 15 * 60 * 1000L;

    /**
     * The minimum time in milliseconds for which a key is retained; it exceeds the lifetime of the token by a margin.
     */
    public static final long RETENTION_MILLIS = 16 * 60 * 1000L;

    /** The memory in bytes of an entry without its response, rounded up. */
    static final long ENTRY_BYTES = 512;

    private final int maxEntries;
    private final long maxBytes;
    private final long responseReserveBytes;
    private final Map<IdempotencyKey, Entry<V>> entries = new LinkedHashMap<>();
    private long bytes;
    private int pendingResponses;
    private long refusedThroughMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param maxEntries the maximum number of keys
     * @param maxBytes the memory for keys and responses, in bytes
     * @param responseReserveBytes the memory that is reserved for each pending response, in bytes
     */
    public KeyTable(int maxEntries, long maxBytes, long responseReserveBytes) {
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
        this.responseReserveBytes = responseReserveBytes;
    }

    /**
     * Looks up a key without adding it.
     *
     * @param key the key
     * @param contentHash the hash of the request content
     * @param nowMillis the current time in milliseconds
     * @return {@link KeyAdmission#KNOWN}, {@link KeyAdmission#CONFLICT} or {@link KeyAdmission#ABSENT}
     */
    public KeyAdmission lookUp(IdempotencyKey key, String contentHash, long nowMillis) {
        evictExpired(nowMillis);
        Entry<V> known = entries.get(key);
        if (known == null) {
            return KeyAdmission.ABSENT;
        }
        return known.contentHash.equals(contentHash) ? KeyAdmission.KNOWN : KeyAdmission.CONFLICT;
    }

    /**
     * Adds a key unless it is known.
     *
     * @param key the key
     * @param contentHash the hash of the request content
     * @param issuedMillis the time of issue of the key's run token, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @param value creates the value of a new key
     * @return the result; never {@link KeyAdmission#ABSENT}
     */
    public KeyAdmission admit(
            IdempotencyKey key, String contentHash, long issuedMillis, long nowMillis, Supplier<V> value) {
        KeyAdmission known = lookUp(key, contentHash, nowMillis);
        if (known != KeyAdmission.ABSENT) {
            return known;
        }
        if (issuedMillis <= refusedThroughMillis) {
            return KeyAdmission.FULL;
        }
        if (!tryAdd(key, contentHash, nowMillis, value)) {
            refusedThroughMillis = issuedMillis;
            return KeyAdmission.FULL;
        }
        return KeyAdmission.NEW;
    }

    /**
     * Adds a key without a run token unless it is known. A refused key may be admitted later.
     *
     * @param key the key
     * @param contentHash the hash of the request content
     * @param nowMillis the current time in milliseconds
     * @param value creates the value of a new key
     * @return the result; never {@link KeyAdmission#ABSENT}
     */
    public KeyAdmission admitWithoutToken(IdempotencyKey key, String contentHash, long nowMillis, Supplier<V> value) {
        KeyAdmission known = lookUp(key, contentHash, nowMillis);
        if (known != KeyAdmission.ABSENT) {
            return known;
        }
        return tryAdd(key, contentHash, nowMillis, value) ? KeyAdmission.NEW : KeyAdmission.FULL;
    }

    /**
     * Records the response to the request of a key.
     *
     * @param key the key
     * @param responseBytes the memory of the response in bytes
     */
    public void complete(IdempotencyKey key, long responseBytes) {
        Entry<V> entry = entries.get(key);
        if (entry == null || entry.completed) {
            return;
        }
        entry.completed = true;
        entry.responseBytes = responseBytes;
        pendingResponses--;
        bytes += responseBytes;
    }

    /**
     * Removes an admitted key whose request was not executed here and never will be.
     *
     * @param key the key
     */
    public void remove(IdempotencyKey key) {
        Entry<V> entry = entries.remove(key);
        if (entry != null) {
            releaseMemory(entry);
        }
    }

    /**
     * Finds the value of a key.
     *
     * @param key the key
     * @return the value; empty when the key is unknown
     */
    public Optional<V> find(IdempotencyKey key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.value);
    }

    /**
     * Gets the number of keys.
     *
     * @return the number
     */
    public int getSize() {
        return entries.size();
    }

    /**
     * Gets the memory in use, including the reserve for pending responses.
     *
     * @return the number of bytes
     */
    public long getBytes() {
        return bytes + pendingResponses * responseReserveBytes;
    }

    private boolean tryAdd(IdempotencyKey key, String contentHash, long nowMillis, Supplier<V> value) {
        if (entries.size() >= maxEntries || getBytes() + ENTRY_BYTES + responseReserveBytes > maxBytes) {
            return false;
        }
        entries.put(key, new Entry<>(contentHash, nowMillis, value.get()));
        bytes += ENTRY_BYTES;
        pendingResponses++;
        return true;
    }

    private void evictExpired(long nowMillis) {
        Iterator<Entry<V>> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry<V> entry = oldest.next();
            if (nowMillis - entry.createdMillis <= RETENTION_MILLIS) {
                return;
            }
            if (entry.completed) {
                oldest.remove();
                releaseMemory(entry);
            }
        }
    }

    private void releaseMemory(Entry<V> entry) {
        bytes -= ENTRY_BYTES + entry.responseBytes;
        if (!entry.completed) {
            pendingResponses--;
        }
    }

    private static final class Entry<V> {
        private final String contentHash;
        private final long createdMillis;
        private final V value;
        private boolean completed;
        private long responseBytes;

        Entry(String contentHash, long createdMillis, V value) {
            this.contentHash = contentHash;
            this.createdMillis = createdMillis;
            this.value = value;
        }
    }
}
