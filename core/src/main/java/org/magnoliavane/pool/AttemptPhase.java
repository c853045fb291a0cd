package org.magnoliavane.pool;

/**
 * Phases that a node reports for an attempt that it owns.
 */
public enum AttemptPhase {
    /** The prefill is done; its KV cache has not been transferred yet. */
    PREFILLED,
    /** The decode worker has received the KV cache. */
    IMPORTED,
    /** Tokens are being generated. */
    DECODING,
    /** The answer is complete. */
    COMPLETED,
    /** The caller disconnected or the attempt was cancelled; the engines were notified. */
    CANCELLED,
    /** The prefill worker failed. */
    PREFILL_FAILED,
    /** The transfer failed or stalled, or the KV cache at its source had expired. */
    TRANSFER_FAILED,
    /** The decode worker refused the request for lack of memory. */
    MEMORY_REFUSED,
    /** The decode worker failed. */
    DECODE_FAILED;

    /**
     * Returns whether this phase is terminal. An attempt in a terminal phase holds no resources.
     *
     * @return true when the attempt has ended
     */
    public boolean isTerminal() {
        return compareTo(COMPLETED) >= 0;
    }
}
