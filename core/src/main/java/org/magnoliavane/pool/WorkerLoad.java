package org.magnoliavane.pool;

import java.util.List;

/**
 * Holds a load report of an engine. Reports are delayed, so their values may be outdated.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the VM id of the worker
 * @param ageMillis the age of the report when it was received, in milliseconds
 * @param totalPieces the number of pieces of memory
 * @param freePieces the number of pieces that are free
 * @param running the number of running attempts
 * @param queuedTokens the number of prompt tokens that wait for prefill
 * @param attempts the ids of the attempts that hold resources of the worker
 */
public record WorkerLoad(
        String worker,
        long ageMillis,
        int totalPieces,
        int freePieces,
        int running,
        int queuedTokens,
        List<String> attempts) {}
