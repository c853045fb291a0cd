package org.magnoliavane.pool;

/**
 * Phases that a node reports for an attempt that it drives.
 */
public enum AttemptPhase {
    /** The prefill is done and its result waits for the transfer. */
    PREFILLED,
    /** The KV cache has arrived at the decode worker. */
    IMPORTED,
    /** Tokens are being generated. */
    DECODING,
    /** The answer is complete. */
    COMPLETED,
    /** The caller is gone or the request was given up; the engines were told. */
    CANCELLED,
    /** The prefill worker failed. */
    PREFILL_FAILED,
    /** The transfer failed, stalled, or its source had lapsed. */
    TRANSFER_FAILED,
    /** The decode worker refused for lack of memory. */
    MEMORY_REFUSED,
    /** The decode worker failed. */
    DECODE_FAILED;

    /**
     * Says whether the attempt has ended and holds nothing any more.
     *
     * @return true for an ended attempt
     */
    public boolean isTerminal() {
        return compareTo(COMPLETED) >= 0;
    }
}
