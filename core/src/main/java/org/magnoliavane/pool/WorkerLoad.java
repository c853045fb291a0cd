package org.magnoliavane.pool;

import java.util.List;

/**
 * Holds a load report of an engine. Reports lag.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the VM id of the worker
 * @param ageMillis the age of the report when it was received
 * @param totalPieces the pieces of memory
 * @param freePieces the pieces that are free
 * @param running the number of attempts in work
 * @param queuedTokens the number of prompt tokens that wait for prefill
 * @param attempts the ids of the attempts that hold something
 */
public record WorkerLoad(
        String worker,
        long ageMillis,
        int totalPieces,
        int freePieces,
        int running,
        int queuedTokens,
        List<String> attempts) {}
