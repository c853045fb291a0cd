package org.magnoliavane.node.placement;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.magnoliavane.pool.WorkerLoad;

/**
 * Holds the answer of an engine to {@code GET /v1/load}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param asOfMillis the time of the report in milliseconds since 1970, by the clock of the engine
 * @param totalPieces the pieces of memory
 * @param freePieces the pieces that are free
 * @param running the number of attempts in work
 * @param queuedTokens the number of prompt tokens that wait for prefill
 * @param attempts the attempts that hold something
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EngineReport(
        @JsonProperty("as_of_millis") long asOfMillis,
        @JsonProperty("total_pieces") int totalPieces,
        @JsonProperty("free_pieces") int freePieces,
        @JsonProperty("running") int running,
        @JsonProperty("queued_tokens") int queuedTokens,
        @JsonProperty("attempts") List<EngineAttempt> attempts) {

    EngineReport {
        attempts = attempts == null ? List.of() : List.copyOf(attempts);
    }

    WorkerLoad toLoad(String worker, long ageMillis) {
        List<String> ids = attempts.stream().map(EngineAttempt::attempt).toList();
        return new WorkerLoad(worker, ageMillis, totalPieces, freePieces, running, queuedTokens, ids);
    }
}
