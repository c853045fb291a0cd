package org.magnoliavane.node.placement;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.magnoliavane.pool.WorkerLoad;

/**
 * Holds the response of an engine to {@code GET /v1/load}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param asOfMillis the time of the report in milliseconds since 1970, by the clock of the engine
 * @param totalPieces the number of pieces of KV cache memory
 * @param freePieces the number of free pieces
 * @param running the number of attempts that are running
 * @param queuedTokens the number of prompt tokens that are queued for prefill
 * @param attempts the attempts that hold resources of the engine; empty when the report has none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EngineLoadReport(
        @JsonProperty("as_of_millis") long asOfMillis,
        @JsonProperty("total_pieces") int totalPieces,
        @JsonProperty("free_pieces") int freePieces,
        @JsonProperty("running") int running,
        @JsonProperty("queued_tokens") int queuedTokens,
        @JsonProperty("attempts") List<ReportedAttempt> attempts) {

    EngineLoadReport {
        attempts = attempts == null ? List.of() : List.copyOf(attempts);
    }

    WorkerLoad toWorkerLoad(String worker, long ageMillis) {
        List<String> ids = attempts.stream().map(ReportedAttempt::attempt).toList();
        return new WorkerLoad(worker, ageMillis, totalPieces, freePieces, running, queuedTokens, ids);
    }
}
