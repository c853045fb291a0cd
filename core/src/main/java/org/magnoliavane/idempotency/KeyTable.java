package org.magnoliavane.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Remembers the keys that a node run has taken on, and what becomes of them. A key is kept for longer than its run
 * token is accepted, so that a key that was evicted cannot run again. Nothing is evicted early: when the table is full
 * new keys are refused. A refused key stays refused without an entry of its own, because from then on every new key
 * whose token is no younger is refused too.
 *
 * <p>Not thread-safe. Times are readings of one clock in milliseconds.
 *
 * @param <V> the type of what is kept for a key
 */
public final class KeyTable<V> {
    /** The time for which a run token is accepted. */
    public static final long TOKEN_LIFETIME_MILLIS = 15 * 60 * 1000L;

    /** The time for which a key is kept at least; longer than the lifetime of the token by a margin. */
    public static final long RETENTION_MILLIS = 16 * 60 * 1000L;

    /** The memory that an entry takes besides its answer, rounded up. */
    static final long ENTRY_BYTES = 512;

    private final int maxEntries;
    private final long maxBytes;
    private final long answerReserveBytes;
    private final Map<IdempotencyKey, Entry<V>> entries = new LinkedHashMap<>();
    private long bytes;
    private int open;
    private long refusedThroughMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param maxEntries the largest number of keys
     * @param maxBytes the memory for keys and answers
     * @param answerReserveBytes the memory that is set aside for each answer that is still to come
     */
    public KeyTable(int maxEntries, long maxBytes, long answerReserveBytes) {
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
        this.answerReserveBytes = answerReserveBytes;
    }

    /**
     * Asks for a key.
     *
     * @param key the key
     * @param contentHash the hash of the call's content
     * @param nowMillis the current time
     * @return {@link KeyAdmission#KNOWN}, {@link KeyAdmission#CONFLICT} or {@link KeyAdmission#ABSENT}
     */
    public KeyAdmission lookUp(IdempotencyKey key, String contentHash, long nowMillis) {
        evict(nowMillis);
        Entry<V> known = entries.get(key);
        if (known == null) {
            return KeyAdmission.ABSENT;
        }
        return known.contentHash.equals(contentHash) ? KeyAdmission.KNOWN : KeyAdmission.CONFLICT;
    }

    /**
     * Takes a key on unless it is known.
     *
     * @param key the key
     * @param contentHash the hash of the call's content
     * @param issuedMillis the time of issue of the key's run token
     * @param nowMillis the current time
     * @param value creates what is kept for a new key
     * @return the outcome; never {@link KeyAdmission#ABSENT}
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
        if (!add(key, contentHash, nowMillis, value)) {
            refusedThroughMillis = issuedMillis;
            return KeyAdmission.FULL;
        }
        return KeyAdmission.NEW;
    }

    /**
     * Takes on a key without a run token unless it is known. A refused key may come back later.
     *
     * @param key the key
     * @param contentHash the hash of the call's content
     * @param nowMillis the current time
     * @param value creates what is kept for a new key
     * @return the outcome; never {@link KeyAdmission#ABSENT}
     */
    public KeyAdmission admitWithoutToken(IdempotencyKey key, String contentHash, long nowMillis, Supplier<V> value) {
        KeyAdmission known = lookUp(key, contentHash, nowMillis);
        if (known != KeyAdmission.ABSENT) {
            return known;
        }
        return add(key, contentHash, nowMillis, value) ? KeyAdmission.NEW : KeyAdmission.FULL;
    }

    /**
     * Notes that the answer to a key has come.
     *
     * @param key the key
     * @param answerBytes the memory that the answer takes
     */
    public void complete(IdempotencyKey key, long answerBytes) {
        Entry<V> entry = entries.get(key);
        if (entry == null || entry.done) {
            return;
        }
        entry.done = true;
        entry.answerBytes = answerBytes;
        open--;
        bytes += answerBytes;
    }

    /**
     * Drops a key that was taken on and certainly never will run here.
     *
     * @param key the key
     */
    public void remove(IdempotencyKey key) {
        Entry<V> entry = entries.remove(key);
        if (entry != null) {
            release(entry);
        }
    }

    /**
     * Finds what is kept for a key.
     *
     * @param key the key
     * @return the value, or empty when the key is unknown
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
     * Gets the memory in use, with what is set aside.
     *
     * @return the number of bytes
     */
    public long getBytes() {
        return bytes + open * answerReserveBytes;
    }

    private boolean add(IdempotencyKey key, String contentHash, long nowMillis, Supplier<V> value) {
        if (entries.size() >= maxEntries || getBytes() + ENTRY_BYTES + answerReserveBytes > maxBytes) {
            return false;
        }
        entries.put(key, new Entry<>(contentHash, nowMillis, value.get()));
        bytes += ENTRY_BYTES;
        open++;
        return true;
    }

    private void evict(long nowMillis) {
        Iterator<Entry<V>> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry<V> entry = oldest.next();
            if (nowMillis - entry.createdMillis <= RETENTION_MILLIS) {
                return;
            }
            if (entry.done) {
                oldest.remove();
                release(entry);
            }
        }
    }

    private void release(Entry<V> entry) {
        bytes -= ENTRY_BYTES + entry.answerBytes;
        if (!entry.done) {
            open--;
        }
    }

    private static final class Entry<V> {
        private final String contentHash;
        private final long createdMillis;
        private final V value;
        private boolean done;
        private long answerBytes;

        Entry(String contentHash, long createdMillis, V value) {
            this.contentHash = contentHash;
            this.createdMillis = createdMillis;
            this.value = value;
        }
    }
}
