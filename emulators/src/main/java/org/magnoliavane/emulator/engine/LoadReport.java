package org.magnoliavane.emulator.engine;

import java.util.List;
import java.util.Map;

/**
 * Answer to {@code GET /v1/load}.
 *
 * @param asOfMillis the time of the report in milliseconds since 1970
 * @param role the role
 * @param totalPieces the pieces of memory
 * @param freePieces the pieces that are free
 * @param running the attempts that are being computed
 * @param queued the attempts that wait to be computed
 * @param queuedTokens the prompt tokens that wait for prefill
 * @param models the names of the loaded models
 * @param versions the version by model; empty text when the model was loaded at start
 * @param loading the names of the models that are being loaded
 * @param attempts the attempts that hold something
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
     * One attempt of a load report.
     *
     * @param attempt the id
     * @param owner the node run that owns it; empty for prefills, which have none
     * @param phase the phase
     * @param pieces the pieces that it holds
     * @param position the tokens generated
     * @param attached whether a connection waits for it
     */
    record Attempt(String attempt, String owner, String phase, int pieces, int position, boolean attached) {}
}
