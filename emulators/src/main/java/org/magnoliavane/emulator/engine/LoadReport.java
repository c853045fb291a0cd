package org.magnoliavane.emulator.engine;

import java.util.List;
import java.util.Map;

/**
 * Response to {@code GET /v1/load}.
 *
 * @param asOfMillis the time of the report in milliseconds since 1970
 * @param role the role of the engine
 * @param totalPieces the total number of pieces of memory
 * @param freePieces the number of free pieces
 * @param running the number of attempts that are being computed
 * @param queued the number of attempts that wait to be computed
 * @param queuedTokens the number of prompt tokens in the prefill queue
 * @param models the names of the loaded models
 * @param versions the versions by model; the empty string for a model that was loaded at start
 * @param loading the names of the models that are being loaded
 * @param attempts the attempts that hold memory
 */
record LoadReport(
        long asOfMillis,
        String role,
        int totalPieces,
        int freePieces,
        int running,
        int queued,
        int queuedTokens,
        List<String> models,
        Map<String, String> versions,
        List<String> loading,
        List<Attempt> attempts) {

    /**
     * Attempt in a load report.
     *
     * @param attempt the id of the attempt
     * @param owner the node run that owns the attempt; empty for prefills, which have no owner
     * @param phase the phase of the attempt
     * @param pieces the number of pieces that the attempt holds
     * @param position the number of tokens generated
     * @param attached whether a connection waits for the output
     */
    record Attempt(String attempt, String owner, String phase, int pieces, int position, boolean attached) {}
}
